"""Exchange of load information among the entry hosts of a zone, and between zones.

Each host with traffic reports to the collector of its zone, which answers with a digest and sends a
summary to the collectors of the other zones. All of them are UDP datagrams that may be lost,
duplicated, delayed or reordered, since what they say only influences choices. The content comes
from sections. `ExchangeState` decides and does no I/O; `ZoneExchange` sends and receives.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from enum import IntEnum
from hashlib import blake2b
from random import Random
from typing import Annotated, NamedTuple, Protocol

import msgspec
import trio

from mulberrycleat.entry.coordinators import CoordinatorMap
from mulberrycleat.entry.datagram_links import DatagramLink, Echo
from mulberrycleat.entry.datagrams import Datagram, DatagramPort
from mulberrycleat.entry.decisions import DecisionLog

__all__ = [
    "MAX_SECTION_BYTES",
    "Collected",
    "ExchangeCounts",
    "ExchangeState",
    "Section",
    "ZoneExchange",
]

# Interval between two reports of a host, in seconds. With a digest at once, what hosts know of each
# other is about half a second old on average.
REPORT_INTERVAL_S = 0.5
# A report and a digest are used up to this age, and a summary of another zone up to that, in
# seconds: three intervals of the one, and more than the longest interval between two digests plus a
# lost datagram for the other.
REPORT_TTL_S, DIGEST_TTL_S, SUMMARY_TTL_S = 1.5, 1.5, 3.0
# Largest datagram, in bytes; it fits into one packet of a network with 1,280 bytes and more.
MAX_DATAGRAM_BYTES = 1200
# Largest message of a section, in bytes; the names of zone and host and the numbers need the rest.
MAX_SECTION_BYTES = 1000
# Bytes of the headers of IP and UDP that each datagram has besides its own.
PACKET_HEADER_BYTES = 28
# Bytes that a host may send and receive for the exchange, per second (requirements page), and the
# share of them that it plans with; the rest is for reports that arrive together.
MAX_BYTES_PER_S, PLANNED_SHARE = 25_000.0, 0.9
# Share of these bytes that the reports of a zone may take at its collector, and the longest
# interval between two reports of a host, in seconds. If reports left no bytes for digests, hosts
# would take the collector for dead, and several collectors would each know a part of the zone only.
REPORTS_SHARE, MAX_REPORT_INTERVAL_S = 0.3, 1.0
# A collector with fewer bytes than these to send sends every second summary only: nine tenths of
# what one interval allows, so that zones of a few hosts send all of them.
AMPLE_BYTES = 0.9 * REPORT_INTERVAL_S * MAX_BYTES_PER_S * PLANNED_SHARE
# Time by which a report may be early, in seconds, as loops don't run at exact intervals.
EARLY_S = 0.1
# Most that received datagrams may leave to be made up for, in bytes: what two report intervals
# allow. A host that is flooded answers again about a second after the flood.
MAX_DEBT_BYTES = 2 * REPORT_INTERVAL_S * MAX_BYTES_PER_S * PLANNED_SHARE
# A collector that has answered none of this many reports, nor any within this time, in seconds, is
# replaced by the next in the order. Collectors of large zones that save bytes answer each host
# about every 1.5 s; with 1.2 s, hosts turned away from them.
UNANSWERED_REPORTS, UNANSWERED_S = 2, 1.7
# Time after which a host tries the first collector of the order again, in seconds. Each trial of a
# dead one costs a gap between digests, and the roster drops it after 15 s.
FAILBACK_S = 10.0
# Ticks without any report after which the first collector of a zone takes the zone for idle: more
# than hosts that have turned to another collector need to come back.
IDLE_TICKS = round((FAILBACK_S + 2.0) / REPORT_INTERVAL_S)
# Pause between two reads of the port, in seconds: reports that arrive together cost one wake-up.
RECEIVE_PAUSE_S = 0.03
# Most datagrams read in one pass; callers are served between two passes.
MAX_READ_AT_ONCE = 256
# Pause before the port is bound again after a failure, in seconds.
BIND_RETRY_S = 5.0
# Hosts whose datagrams are remembered; more than any deployment has.
MAX_LINKS = 1024


class Collected(NamedTuple):
    """What a collector sends for one section.

    Attributes
    ----------
    digest : bytes or None
        Message to the hosts of the collector's zone; None for none.
    summary : bytes or None
        Message to the collectors of other zones; None for none.
    """

    digest: bytes | None
    summary: bytes | None


class Section(Protocol):
    """A part of the exchange; messages are bytes that only the section reads.

    Times `now` are in seconds on trio's clock.
    """

    name: str

    def report(self, now: float) -> bytes | None:
        """Return this host's message to the collector of its zone; None: nothing to say."""
        ...

    def collect(
        self, reports: Mapping[str, bytes], zones: Mapping[str, bytes], now: float
    ) -> Collected:
        """Return the collector's messages.

        Parameters
        ----------
        reports : mapping
            Newest report of each host of the zone, by host; none in a zone without traffic, whose
            digest is not sent.
        zones : mapping
            Newest summary of each other zone, by zone.
        """
        ...

    def apply(self, digest: bytes, age_s: float, now: float) -> None:
        """Apply the collector's digest, which is `age_s` seconds old, at a host of its zone."""
        ...


class Kind(IntEnum):
    """What a datagram is."""

    REPORT = 0
    DIGEST = 1
    SUMMARY = 2


Name = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=2**48)]


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """A datagram; `echo` and `held_ms` are those of :class:`DatagramLink`."""

    kind: Kind
    zone: Name
    host: Name
    incarnation: Number
    number: Number
    echo: Number
    held_ms: Number
    sections: Annotated[dict[Name, bytes], msgspec.Meta(max_length=16)]


class Outgoing(NamedTuple):
    """A datagram to be sent."""

    address: str
    data: bytes


class _Held(NamedTuple):
    """Newest message of a section from a host or a zone, and when it was sent at the latest."""

    data: bytes
    at: float


class ExchangeCounts(NamedTuple):
    """Datagrams and bytes so far, headers included, and datagrams refused, by reason."""

    sent: int
    received: int
    sent_bytes: int
    received_bytes: int
    refused: Mapping[str, int]


class ExchangeState:
    """What a host knows of the exchange, and what it sends. Free of I/O.

    Every host that gets reports answers them, so a collector needs no appointment, and two at a
    time do no harm. Times `now` are in seconds on trio's clock.

    Parameters
    ----------
    host, zone, incarnation : str
        This host, its availability zone, and the incarnation of its process.
    roster : CoordinatorMap
        The active hosts.
    sections : sequence of Section
        What the exchange carries.
    decisions : DecisionLog
        Log of changes and faults.
    random : Random
        Source of the first number.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        incarnation: str,
        roster: CoordinatorMap,
        sections: Sequence[Section],
        decisions: DecisionLog,
        random: Random,
    ) -> None:
        self._host = host
        self._zone = zone
        self._incarnation = _hash(incarnation)
        self._roster = roster
        self._sections = {section.name: section for section in sections}
        self._decisions = decisions
        # An echo of an earlier incarnation's datagram names no datagram of this one.
        self._number = random.randrange(1, 2**32)
        self._links: dict[str, DatagramLink] = {}
        self._reports: dict[str, dict[str, _Held]] = defaultdict(dict)
        self._summaries: dict[str, dict[str, _Held]] = defaultdict(dict)
        # Host that sent the newest summary of each zone, and when.
        self._collectors: dict[str, tuple[str, float]] = {}
        self._answered_at: dict[str, float] = {}
        self._rank = 0
        self._rank_since = float("-inf")
        self._order: tuple[str, ...] = ()
        self._unanswered: list[float] = []
        # When this host has last reported to another one, and the size of that datagram.
        self._reported_at = float("-inf")
        self._report_bytes = 0
        self._budget = 0.0
        self._budget_at: float | None = None
        self._rounds = 0
        self._idle_ticks = 0
        self._digest_at = float("-inf")
        self._digest_from = ""
        self._sent = self._received = 0
        self._sent_bytes = self._received_bytes = 0
        self._refused: Counter[str] = Counter()
        self._failing: set[str] = set()

    @property
    def counts(self) -> ExchangeCounts:
        """Datagrams so far."""
        return ExchangeCounts(
            self._sent, self._received, self._sent_bytes, self._received_bytes, self._refused
        )

    @property
    def collector(self) -> str:
        """Name of the collector to which this host reports; empty if it knows none."""
        order = self._roster.collectors(self._zone)
        return order[min(self._rank, len(order) - 1)] if order else ""

    def digest_age_s(self, now: float) -> float:
        """Return the age of the newest digest that was applied, in seconds."""
        return now - self._digest_at

    def is_collecting(self, now: float) -> bool:
        """Whether there are reports that this host has to answer."""
        return any(self._fresh(held, now, REPORT_TTL_S) for held in self._reports.values())

    def tick(self, now: float) -> Iterator[Outgoing]:
        """Yield the datagrams to send now: this host's report, and answers to those of others."""
        self._refill(now)
        yield from self._report(now)
        if self.is_collecting(now):
            self._idle_ticks = 0
            yield from self._collect(now)
        elif self._hears_zones(now):
            self._idle_ticks += 1
            if self._idle_ticks >= IDLE_TICKS:
                yield from self._collect(now)

    def receive(self, datagram: Datagram, now: float) -> None:
        """Apply a datagram that has arrived."""
        size = len(datagram.data) + PACKET_HEADER_BYTES
        self._received += 1
        self._received_bytes += size
        try:
            message = msgspec.msgpack.decode(datagram.data, type=_Message)
        except msgspec.MsgspecError as error:
            self._refuse("unreadable", datagram.source, str(error))
            return
        fault = self._fault(message, datagram.source)
        if fault:
            self._refuse(fault, datagram.source, message.host)
            return
        # What is refused is not charged, or another program could silence this host.
        self._refill(now)
        self._budget = max(-MAX_DEBT_BYTES, self._budget - size)
        link = self._link(message.host)
        echo = Echo(message.echo, message.held_ms)
        age_s = link.age_s(echo, now)
        slots = [(message.kind, name) for name in message.sections if name in self._sections]
        is_newer = [link.accept(message.incarnation, message.number, s, now, echo) for s in slots]
        if not all(is_newer):
            self._refused["older"] += 1
            return
        match message.kind:
            case Kind.REPORT:
                self._hold(self._reports, message.host, message, now - (age_s or 0.0))
            case Kind.SUMMARY:
                self._hold(self._summaries, message.zone, message, now - (age_s or 0.0))
                self._collectors[message.zone] = (message.host, now)
            case Kind.DIGEST:
                self._apply(message, age_s, now)

    def _report(self, now: float) -> Iterator[Outgoing]:
        collector = self._choose_collector(now)
        if collector != self._host and not self._is_report_due(now):
            return
        reports = {name: section.report(now) for name, section in self._sections.items()}
        found = {name: data for name, data in reports.items() if data is not None}
        if not found or not collector:
            self._unanswered.clear()
            return
        if collector == self._host:
            for name, data in found.items():
                self._reports[name][self._host] = _Held(data, now)
            return
        self._unanswered.append(now)
        self._reported_at, self._report_bytes = now, 0
        for outgoing in self._messages(Kind.REPORT, collector, found, now):
            self._report_bytes += len(outgoing.data) + PACKET_HEADER_BYTES
            yield outgoing

    def _is_report_due(self, now: float) -> bool:
        """Whether the reports of all hosts of this zone leave the collector bytes for digests."""
        rate = REPORTS_SHARE * PLANNED_SHARE * MAX_BYTES_PER_S
        needed_s = self._roster.count_of(self._zone) * self._report_bytes / rate
        return now - self._reported_at >= min(needed_s, MAX_REPORT_INTERVAL_S) - EARLY_S

    def _choose_collector(self, now: float) -> str:
        """Return the collector of this zone: the first in the order that answers."""
        order = self._roster.collectors(self._zone)
        if order != self._order:
            self._order, self._rank, self._rank_since = order, 0, now
            self._unanswered.clear()
        unanswered = [at for at in self._unanswered if now - at >= UNANSWERED_S]
        if len(self._unanswered) >= UNANSWERED_REPORTS and unanswered and order:
            self._try_collector((self._rank + 1) % len(order), now, "no answer")
        elif self._rank and now - self._rank_since >= FAILBACK_S:
            self._try_collector(0, now, "the first again")
        return self.collector

    def _try_collector(self, rank: int, now: float, why: str) -> None:
        if rank != self._rank:
            name = self._order[rank]
            self._decisions.info(
                "collector changed", collector=name, before=self.collector, why=why
            )
        self._rank, self._rank_since = rank, now
        self._unanswered.clear()

    def _hears_zones(self, now: float) -> bool:
        """Whether other zones send summaries to this host, the first collector of its zone.

        If the zone has no traffic, they are to learn that all of its room is to spare.
        """
        if self._roster.collectors(self._zone)[:1] != (self._host,):
            return False
        return any(self._fresh(held, now, SUMMARY_TTL_S) for held in self._summaries.values())

    def _collect(self, now: float) -> Iterator[Outgoing]:
        """Yield summaries and digests, as far as the bytes per second allow."""
        digests: dict[str, bytes] = {}
        summaries: dict[str, bytes] = {}
        for name, section in self._sections.items():
            reports = self._fresh(self._reports[name], now, REPORT_TTL_S)
            zones = self._fresh(self._summaries[name], now, SUMMARY_TTL_S)
            if not reports and not zones:
                continue
            try:
                collected = section.collect(reports, zones, now)
            except (ValueError, msgspec.MsgspecError) as error:
                self._refuse("section", name, str(error))
                continue
            if collected.digest is not None and reports:
                digests[name] = collected.digest
            if collected.summary is not None:
                summaries[name] = collected.summary
        self._rounds += 1
        # Other zones use summaries for longer than hosts use digests, which need the bytes more.
        is_short = self._budget < AMPLE_BYTES
        if summaries and (self._rounds % 2 or not is_short):
            for target in self._other_collectors(now):
                yield from self._messages(Kind.SUMMARY, target, summaries, now)
        if digests:
            yield from self._answer(digests, now)

    def _answer(self, digests: dict[str, bytes], now: float) -> Iterator[Outgoing]:
        """Yield a digest for each host that has reported; first those without one the longest."""
        hosts = {
            host
            for held in self._reports.values()
            for host, report in held.items()
            if now - report.at <= REPORT_TTL_S
        }
        if self._host in hosts:
            self._apply_sections(digests, 0.0, now)
            hosts.remove(self._host)
        self._answered_at = {h: at for h, at in self._answered_at.items() if h in hosts}
        for host in sorted(hosts, key=lambda name: (self._answered_at.get(name, 0.0), name)):
            if self._budget < 0:
                return
            self._answered_at[host] = now
            yield from self._messages(Kind.DIGEST, host, digests, now)

    def _other_collectors(self, now: float) -> list[str]:
        """Return the collector of each other zone: the one heard of, or one of the first two."""
        chosen = []
        for zone in self._roster.zone_names:
            if zone == self._zone:
                continue
            host, heard_at = self._collectors.get(zone, ("", float("-inf")))
            order = self._roster.collectors(zone)
            if now - heard_at > SUMMARY_TTL_S or host not in order:
                host = order[self._rounds % min(2, len(order))] if order else ""
            if host:
                chosen.append(host)
        return chosen

    def _apply(self, message: _Message, age_s: float | None, now: float) -> None:
        if message.host == self.collector:
            self._unanswered.clear()
        if age_s is None or age_s > DIGEST_TTL_S:
            self._refused["late"] += 1
            return
        if message.host != self._digest_from and now - age_s < self._digest_at:
            self._refused["older"] += 1
            return
        self._digest_from = message.host
        self._apply_sections(message.sections, age_s, now)

    def _apply_sections(self, digests: Mapping[str, bytes], age_s: float, now: float) -> None:
        self._digest_at = max(self._digest_at, now - age_s)
        for name, digest in digests.items():
            if name not in self._sections:
                continue
            try:
                self._sections[name].apply(digest, age_s, now)
            except (ValueError, msgspec.MsgspecError) as error:
                self._refuse("section", name, str(error))

    def _messages(
        self, kind: Kind, host: str, sections: Mapping[str, bytes], now: float
    ) -> Iterator[Outgoing]:
        """Yield the datagrams for a host: one, or several if the sections don't fit into one."""
        addresses = self._roster.addresses_of((host,))
        if not addresses:
            return
        link = self._link(host)
        pending = dict(sections)
        while pending:
            part: dict[str, bytes] = {}
            data = b""
            for name, section in sorted(pending.items()):
                if len(section) > MAX_SECTION_BYTES:
                    del pending[name]
                    self._refuse("too large", name, f"{len(section)} bytes")
                    continue
                tried = self._encode(kind, link, {**part, name: section}, now)
                if len(tried) <= MAX_DATAGRAM_BYTES or not part:
                    part[name], data = section, tried
                    del pending[name]
            if part:
                link.record_sent(self._number, now)
                self._number += 1
                self._sent += 1
                self._sent_bytes += len(data) + PACKET_HEADER_BYTES
                self._budget -= len(data) + PACKET_HEADER_BYTES
                yield Outgoing(addresses[0], data)

    def _encode(
        self, kind: Kind, link: DatagramLink, sections: dict[str, bytes], now: float
    ) -> bytes:
        echo = link.echo(now)
        return msgspec.msgpack.encode(
            _Message(
                kind,
                self._zone,
                self._host,
                self._incarnation,
                self._number,
                echo.number,
                echo.held_ms,
                sections,
            )
        )

    def _hold(
        self, held: dict[str, dict[str, _Held]], sender: str, message: _Message, at: float
    ) -> None:
        """Keep the sections of a report or a summary, unless a newer one of another host is kept.

        A zone may have two collectors for a while.
        """
        for name, data in message.sections.items():
            if name not in self._sections:
                continue
            known = held[name].get(sender)
            if known is None or at >= known.at:
                held[name][sender] = _Held(data, at)

    def _fresh(self, held: dict[str, _Held], now: float, ttl_s: float) -> dict[str, bytes]:
        """Return the messages that are not too old; the others are forgotten."""
        for sender in [s for s, found in held.items() if now - found.at > ttl_s]:
            del held[sender]
        return {sender: found.data for sender, found in held.items()}

    def _fault(self, message: _Message, source: str) -> str:
        """Return why a datagram is not used; empty if it is."""
        zone = self._roster.zone_of(message.host)
        if zone is None or message.host == self._host:
            return "unknown host"
        if (zone, (source,)) != (message.zone, self._roster.addresses_of((message.host,))):
            return "other sender"
        if (zone == self._zone) == (message.kind is Kind.SUMMARY):
            return "other zone"
        return ""

    def _refuse(self, reason: str, source: str, why: str) -> None:
        self._refused[reason] += 1
        if reason not in self._failing:
            self._failing.add(reason)
            self._decisions.warning("datagram refused", step=reason, peer=source, why=why)

    def _link(self, host: str) -> DatagramLink:
        if host not in self._links and len(self._links) >= MAX_LINKS:
            del self._links[next(iter(self._links))]
        return self._links.setdefault(host, DatagramLink())

    def _refill(self, now: float) -> None:
        """Add the bytes that may be sent since the last call, at most those of one interval."""
        rate = MAX_BYTES_PER_S * PLANNED_SHARE
        since = now - self._budget_at if self._budget_at is not None else REPORT_INTERVAL_S
        self._budget = min(rate * REPORT_INTERVAL_S, self._budget + rate * since)
        self._budget_at = now


class ZoneExchange:
    """Sends and receives the datagrams of the exchange.

    Parameters
    ----------
    state : ExchangeState
        Decides what is sent.
    bind : callable
        Opens the UDP port at an address.
    address : str
        Address of this host for the others, as ``ip:port``.
    decisions : DecisionLog
        Log of starts and failures.
    random : Random
        Source of the time of the first report, so that hosts started together don't report
        together.
    """

    def __init__(
        self,
        state: ExchangeState,
        bind: Callable[[str], DatagramPort],
        address: str,
        decisions: DecisionLog,
        random: Random,
    ) -> None:
        self._state = state
        self._bind = bind
        self._address = address
        self._decisions = decisions
        self._random = random
        self._started = False
        self._failing = False

    @property
    def started(self) -> bool:
        """Whether this host takes part."""
        return self._started

    @property
    def state(self) -> ExchangeState:
        """What is known of the exchange."""
        return self._state

    def start(self, why: str) -> None:
        """Note that this host takes part from now on; :meth:`run` is to be run."""
        self._started = True
        self._decisions.info("zone exchange started", why=why)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        while True:
            try:
                port = self._bind(self._address)
            except OSError as error:
                self._decisions.warning(
                    "port not bound", step="zone exchange", peer=self._address, why=str(error)
                )
                await trio.sleep(BIND_RETRY_S)
                continue
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_reads, port)
                    nursery.start_soon(self._run_ticks, port)
            finally:
                port.close()

    async def _run_reads(self, port: DatagramPort) -> None:
        while True:
            await port.wait()
            now = trio.current_time()
            for _ in range(MAX_READ_AT_ONCE):
                datagram = port.receive()
                if datagram is None:
                    break
                self._state.receive(datagram, now)
            await trio.sleep(RECEIVE_PAUSE_S)

    async def _run_ticks(self, port: DatagramPort) -> None:
        await trio.sleep(REPORT_INTERVAL_S * self._random.random())
        while True:
            for address, data in self._state.tick(trio.current_time()):
                self._send(port, address, data)
            await trio.sleep(REPORT_INTERVAL_S)

    def _send(self, port: DatagramPort, address: str, data: bytes) -> None:
        try:
            port.send(data, address)
        except OSError as error:
            if not self._failing:
                self._decisions.warning(
                    "datagram not sent", step="zone exchange", peer=address, why=str(error)
                )
            self._failing = True
        else:
            self._failing = False


def _hash(text: str) -> int:
    """Return a short number for a name."""
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")
