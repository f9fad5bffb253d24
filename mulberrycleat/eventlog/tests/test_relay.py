"""One host of a zone reads the log for the other hosts, which fall back to the log if it fails."""

from __future__ import annotations

from collections.abc import Iterator

import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog import (
    FakeEventLog,
    MemoryStreams,
    Page,
    RelayedLog,
    RelayReply,
    RelayState,
    follow,
)
from mulberrycleat.membership import first_by_rank
from mulberrycleat.testing import fixture

STREAM = "manifest"
RUN_S = 60.0


class Host:
    """A host that follows one stream through the relay."""

    def __init__(self, zone: Zone, name: str) -> None:
        self._zone = zone
        self._name = name
        self.log = FakeEventLog(zone.streams)
        self.relay = RelayedLog(self.log, self._choose, self._ask)
        self.received: list[int] = []
        self.received_at: dict[int, float] = {}
        self.frozen = False

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        await follow(self.relay, STREAM, self._on_page)

    async def _on_page(self, page: Page) -> None:
        new_values = [entry.data for entry in page.entries if entry.data not in self.received_at]
        self.received.extend(new_values)
        self.received_at |= dict.fromkeys(new_values, trio.current_time())

    def _choose(self, stream: str, in_backoff: frozenset[str]) -> str | None:
        names = (set(self._zone.visible_to(self._name)) | {self._name}) - in_backoff
        found = first_by_rank(stream, names)
        return None if found == self._name else found

    async def _ask(
        self, name: str, stream: str, offset: int, wait_s: float
    ) -> Result[RelayReply, PeerError]:
        host = self._zone.hosts[name]
        with trio.move_on_after(wait_s + 1.0):
            answer = await host.relay.serve(stream, offset, wait_s)
            if not host.frozen:
                return Ok(answer)
            await trio.sleep_forever()
        return Err(PeerError(Step.CALL, name, "no reply"))


class Zone:
    """Hosts that share one log."""

    def __init__(self, count: int) -> None:
        self.streams = MemoryStreams(trio.current_time)
        self.partial_views: dict[str, set[str]] = {}
        self.hosts = {name: Host(self, name) for name in (f"a{n}" for n in range(count))}

    @property
    def reader(self) -> Host:
        """The host that all hosts choose as the reader."""
        return self.hosts[first_by_rank(STREAM, self.hosts)]

    def visible_to(self, name: str) -> set[str]:
        """Return the hosts that `name` sees as alive."""
        return self.partial_views.get(name, set(self.hosts))

    def append(self, value: int) -> float:
        """Append a record; return the time of the append, in seconds on trio's clock."""
        self.streams.append(STREAM, (value,))
        return trio.current_time()

    def delays(self, value: int, since: float) -> list[float]:
        """Return how many seconds after `since` each host received a record."""
        return [host.received_at.get(value, float("inf")) - since for host in self.hosts.values()]


@fixture
def zone() -> Iterator[type[Zone]]:
    """Return the class `Zone`; each test creates its instances, inside its running clock."""
    yield Zone


async def test_only_the_reader_of_a_zone_keeps_reading_the_log(zone):
    for count in (4, 16):
        direct, relayed = zone(count), zone(count)
        direct.partial_views = {name: set() for name in direct.hosts}
        await _run(direct)
        await _run(relayed)
        other_reads = [
            host.log.reads for host in relayed.hosts.values() if host is not relayed.reader
        ]
        assert other_reads == [1] * (count - 1)
        assert sum(host.log.reads for host in direct.hosts.values()) >= 10 * count


async def test_every_host_gets_every_record_in_order(zone):
    test_zone = zone(5)
    async with trio.open_nursery() as nursery:
        _start(nursery, test_zone)
        for value in range(200):
            test_zone.append(value)
            await trio.sleep(0.05)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    assert all(host.received == list(range(200)) for host in test_zone.hosts.values())


async def test_hosts_read_the_log_directly_when_the_reader_is_frozen(zone):
    test_zone = zone(4)
    async with trio.open_nursery() as nursery:
        _start(nursery, test_zone)
        await trio.sleep(10.0)
        test_zone.reader.frozen = True
        since = test_zone.append(1)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert max(test_zone.delays(1, since)) <= 7.0


async def test_hosts_read_the_log_directly_when_the_reader_is_partitioned_from_it(zone):
    test_zone = zone(4)
    async with trio.open_nursery() as nursery:
        _start(nursery, test_zone)
        await trio.sleep(10.0)
        test_zone.reader.log.down = True
        since = test_zone.append(1)
        await trio.sleep(RUN_S)
        other_delays = [d for d in test_zone.delays(1, since) if d != float("inf")]
        nursery.cancel_scope.cancel()
    assert len(other_delays) == 3
    assert max(other_delays) <= 7.0


async def test_hosts_that_choose_each_other_as_reader_still_receive_records(zone):
    test_zone = zone(2)
    first, second = sorted(
        test_zone.hosts, key=lambda name: name != first_by_rank(STREAM, test_zone.hosts)
    )
    test_zone.partial_views = {first: {first}, second: {first, second}}
    test_zone.hosts[first].relay.serve = _not_reader
    async with trio.open_nursery() as nursery:
        _start(nursery, test_zone)
        await trio.sleep(10.0)
        since = test_zone.append(1)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert max(test_zone.delays(1, since)) <= 7.0


async def test_reader_in_backoff_for_one_stream_is_still_asked_for_others():
    asked: list[tuple[str, str]] = []

    async def ask(name: str, stream: str, offset: int, wait_s: float):
        asked.append((name, stream))
        state = RelayState.STALE if stream == "ledger" else RelayState.PAGE
        return Ok(RelayReply(state, Page(0, 0, 0, ())))

    def choose(stream: str, in_backoff: frozenset[str]) -> str | None:
        return next((name for name in ("a1", "a2") if name not in in_backoff), None)

    relay = RelayedLog(FakeEventLog(MemoryStreams(trio.current_time)), choose, ask)
    for stream in ("ledger", "ledger", "once"):
        await relay.read(stream, 0, 1.0)
    assert asked == [("a1", "ledger"), ("a2", "ledger"), ("a1", "once")]


async def _not_reader(stream: str, offset: int, wait_s: float) -> RelayReply:
    return RelayReply(RelayState.NOT_READER)


def _start(nursery: trio.Nursery, zone: Zone) -> None:
    for host in zone.hosts.values():
        nursery.start_soon(host.run)


async def _run(zone: Zone) -> None:
    async with trio.open_nursery() as nursery:
        _start(nursery, zone)
        for value in range(10):
            await trio.sleep(RUN_S / 10)
            zone.append(value)
        nursery.cancel_scope.cancel()
