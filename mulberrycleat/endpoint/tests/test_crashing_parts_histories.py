"""Random histories of hosts that read reports late while one part crashes endpoints."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from mulberrycleat.core import Position
from mulberrycleat.endpoint.crashing_parts import CrashingParts
from mulberrycleat.endpoint.reports import CrashReport, EndpointReport

SEEDS = 20
CRASHING_PART = "crashing"
ENDPOINTS, RESTART_S, DURATION_S = 9, 3.0, 30.0
ANSWER_S, READ_LAG_S = (0.05, 0.6), (0.02, 0.4)
# The platform's limits: see ``platform.tests.test_crashing_parts``.
MAX_LATE, CRASHES, CONTACT_S = 3, 5, 3.0


@dataclass
class Request:
    """A request at an endpoint, and how far its host had read the reports when it was sent."""

    host: int
    parts: tuple[str, ...]
    read_to: int


@dataclass
class History:
    """A fleet of hosts in virtual time; each host reads the log with delays of its own."""

    random: Random
    hosts: int
    crashing_interval_s: float
    log: list[EndpointReport] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    late: int = 0
    sound: int = 0
    sound_refused: int = 0

    def run(self) -> None:
        """Play all events in the order of their times."""
        self.parts = [CrashingParts(lambda part, rank=n: rank) for n in range(self.hosts)]
        self.read_to = [0] * self.hosts
        self.names = [f"e{n}" for n in range(ENDPOINTS)]
        self.running: list[list[Request]] = [[] for _ in range(ENDPOINTS)]
        self.down_until = [0.0] * ENDPOINTS
        self.events: list[tuple] = []
        self.count = 0
        self._at(0.0, self._arrive, False)
        self._at(1.0, self._arrive, True)
        for host in range(self.hosts):
            self._at(0.0, self._read, host)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def _at(self, time, action, *arguments) -> None:
        if time <= DURATION_S:
            self.count += 1
            heapq.heappush(self.events, (time, self.count, action, arguments))

    def _arrive(self, now, crashing) -> None:
        interval_s = self.crashing_interval_s if crashing else 0.02
        self._at(now + self.random.expovariate(1 / interval_s), self._arrive, crashing)
        middle = CRASHING_PART if crashing else f"middle{self.random.randrange(40)}"
        parts = (f"first{self.random.randrange(3)}", middle)
        host = self.random.randrange(self.hosts)
        settled = len(self.crashes) >= CRASHES and now > self.crashes[CRASHES - 1] + CONTACT_S
        if self.parts[host].refusal(parts, now) is not None:
            self.sound_refused += settled and not crashing
            return
        up = [n for n in range(ENDPOINTS) if now >= self.down_until[n]]
        if not up:
            return
        endpoint = self.random.choice(up)
        request = Request(host, parts, self.read_to[host])
        self.running[endpoint].append(request)
        self.late += crashing and settled
        self.sound += not crashing and settled
        self._at(now + self.random.uniform(*ANSWER_S), self._answer, endpoint, request)

    def _answer(self, now, endpoint, request) -> None:
        if request not in self.running[endpoint]:
            return
        if CRASHING_PART in request.parts:
            self._crash(now, endpoint)
            return
        self.running[endpoint].remove(request)
        self._append(self.parts[request.host].record_answer(request.parts))

    def _crash(self, now, endpoint) -> None:
        self.crashes.append(now)
        for broken in self.running[endpoint]:
            self._append(CrashReport(self.names[endpoint], broken.parts, broken.read_to))
        self.running[endpoint] = []
        self.names[endpoint] = f"{self.names[endpoint]}'"
        self.down_until[endpoint] = now + RESTART_S

    def _append(self, report) -> None:
        if report is not None:
            self.log.append(report)

    def _read(self, now, host) -> None:
        end = len(self.log)
        for offset in range(self.read_to[host], end):
            record = self.log[offset]
            self.parts[host].apply(record, Position(0, offset), now)
            if isinstance(record, CrashReport):
                self._append(self.parts[host].answered_parts(record))
        self.read_to[host] = end
        for renewal in self.parts[host].renewals(now):
            self._append(renewal)
        self._at(now + self.random.uniform(*READ_LAG_S), self._read, host)


def test_the_crashing_part_is_refused_in_time_and_sound_requests_are_served():
    for seed in range(SEEDS):
        random = Random(seed)
        history = History(random, random.choice((1, 3, 9, 40)), random.choice((0.2, 0.5, 1.0, 2.0)))
        history.run()
        context = (seed, history.hosts, history.crashing_interval_s, len(history.crashes))
        assert history.late <= MAX_LATE, (context, history.late)
        assert history.sound_refused <= 0.1 * history.sound, (context, history.sound_refused)
