"""Random histories of endpoints that leave, pause, start again, and vanish from the directory."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.statements import (
    MAX_PAUSE_S,
    TRIAL_TIMEOUT_S,
    EndpointStatements,
    Leaving,
    Pause,
)

SEEDS = 20
ENDPOINTS, DURATION_S, STEP_S, ANSWER_S = 4, 60.0, 0.05, (0.02, 0.3)
# The platform's limits: see ``platform.tests.test_statements``.
DRAIN_S, MAX_IN_PAUSE, PAUSE_BEGINS_S = 2.0, 2, 0.5


@dataclass
class Server:
    """An endpoint, and what reached its present incarnation."""

    number: int
    born: float = 0.0
    leaving: bool = False
    pause_s: float = 0.0
    pausing_until: float = 0.0
    listed: bool = True
    leaving_known_at: float | None = None
    pause: tuple[float, float] | None = None
    in_pause: int = 0

    @property
    def entry(self) -> Entry:
        """Its entry in the directory."""
        return Entry(f"e{self.number}", "huts", f"10.0.0.{self.number}:80", "a", born=self.born)


@dataclass
class History:
    """One host that sends requests, in steps of virtual time."""

    random: Random
    statements: EndpointStatements = field(default_factory=EndpointStatements)
    servers: list[Server] = field(default_factory=lambda: [Server(n) for n in range(ENDPOINTS)])
    pending: list[tuple[float, float, Server, float]] = field(default_factory=list)
    sent: int = 0
    refused: int = 0

    def run(self) -> None:
        """Play the history; each step checks the limits."""
        for step in range(int(DURATION_S / STEP_S)):
            now = step * STEP_S
            self._change(self.random.choice(self.servers), now)
            self._answer(now)
            self._send(now)

    def _change(self, server: Server, now: float) -> None:
        draw = self.random.random()
        if draw < 0.004:
            self.servers[server.number] = Server(server.number, born=now + 1.0)
        elif draw < 0.008:
            server.leaving = True
        elif draw < 0.02:
            server.pause_s = self.random.choice((0.4, 1.5, 4.0, 9.0))
            server.pausing_until = now + server.pause_s
        elif draw < 0.03:
            server.listed = not server.listed

    def _send(self, now: float) -> None:
        listed = [server for server in self.servers if server.listed]
        entries = [server.entry for server in listed]
        sendable = self.statements.sendable(entries, now, DRAIN_S)
        if not sendable:
            self.refused += 1
            return
        entry = self.random.choice(sendable)
        server = next(server for server in listed if server.entry == entry)
        self.statements.record_send(entry.incarnation, now)
        self.sent += 1
        if server.leaving_known_at is not None:
            assert now <= server.leaving_known_at + DRAIN_S
        if server.pause and server.pause[0] + PAUSE_BEGINS_S <= now <= server.pause[1]:
            server.in_pause += 1
            assert server.in_pause <= MAX_IN_PAUSE
        self.pending.append((now + self.random.uniform(*ANSWER_S), now, server, server.born))

    def _answer(self, now: float) -> None:
        for found in [found for found in self.pending if found[0] <= now]:
            self.pending.remove(found)
            _, sent_at, server, _ = found
            incarnation = server.entry.incarnation
            if now < server.pausing_until:
                left_s = server.pausing_until - now
                self.statements.observe(incarnation, Pause(left_s), now)
                if server.pause is None or now > server.pause[1]:
                    server.pause, server.in_pause = (now, server.pausing_until), 0
            else:
                self.statements.record_answer(incarnation, sent_at)
            if server.leaving:
                self.statements.observe(incarnation, Leaving(), now)
                if server.leaving_known_at is None:
                    server.leaving_known_at = now


def test_random_histories_keep_the_limits_on_leaving_and_pausing_endpoints():
    sent = refused = 0
    for seed in range(SEEDS):
        history = History(Random(seed))
        history.run()
        sent, refused = sent + history.sent, refused + history.refused
    assert sent > 3 * refused


def entry(number: int = 1, born: float = 0.0) -> Entry:
    return Server(number, born).entry


def test_a_statement_belongs_to_one_start_of_an_endpoint():
    statements = EndpointStatements()
    statements.observe(entry().incarnation, Leaving(), 0.0)
    statements.observe(entry().incarnation, Pause(60.0), 0.0)
    assert statements.sendable([entry()], 1.0, DRAIN_S) == []
    assert statements.sendable([entry(born=1.0)], 1.0, DRAIN_S) == [entry(born=1.0)]


def test_a_pause_is_taken_with_its_fractions_and_bounded():
    statements = EndpointStatements()
    statements.observe(entry().incarnation, Pause(0.25), 0.0)
    assert statements.wait_s([entry()], 0.0) == 0.25
    assert statements.sendable([entry()], 0.26, DRAIN_S)
    statements.observe(entry().incarnation, Pause(1e9), 1.0)
    assert statements.wait_s([entry()], 1.0) == MAX_PAUSE_S


def test_the_answer_to_an_earlier_request_does_not_end_a_pause():
    statements = EndpointStatements()
    statements.observe(entry().incarnation, Pause(5.0), 1.0)
    assert not statements.record_answer(entry().incarnation, sent_at=0.5)
    assert statements.sendable([entry()], 2.0, DRAIN_S) == []


def test_one_request_is_sent_after_a_pause_before_any_other():
    statements = EndpointStatements()
    name = entry().incarnation
    statements.observe(name, Pause(1.0), 0.0)
    statements.record_send(name, 1.1)
    assert statements.sendable([entry()], 1.2, DRAIN_S) == []
    assert statements.sendable([entry()], 1.1 + TRIAL_TIMEOUT_S, DRAIN_S)
    assert statements.record_answer(name, sent_at=1.1)
    assert statements.sendable([entry()], 1.2, DRAIN_S)
