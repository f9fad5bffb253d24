"""One host of a zone reads the log for all; nobody waits for a reader that cannot."""

from __future__ import annotations

from collections.abc import Iterator

import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog import (
    FakeEventLog,
    MemoryStreams,
    Page,
    RelayAnswer,
    RelayedLog,
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
        self.got: list[int] = []
        self.got_at: dict[int, float] = {}
        self.frozen = False

    async def run(self) -> None:
        """Follow the stream for ever."""
        await follow(self.relay, STREAM, self._take)

    async def _take(self, page: Page) -> None:
        fresh = [entry.data for entry in page.entries if entry.data not in self.got_at]
        self.got.extend(fresh)
        self.got_at |= dict.fromkeys(fresh, trio.current_time())

    def _choose(self, stream: str, avoided: frozenset[str]) -> str | None:
        names = (set(self._zone.seen_by(self._name)) | {self._name}) - avoided
        found = first_by_rank(stream, names)
        return None if found == self._name else found

    async def _ask(
        self, name: str, stream: str, offset: int, wait_s: float
    ) -> Result[RelayAnswer, PeerError]:
        host = self._zone.hosts[name]
        with trio.move_on_after(wait_s + 1.0):
            answer = await host.relay.serve(stream, offset, wait_s)
            if not host.frozen:
                return Ok(answer)
            await trio.sleep_forever()
        return Err(PeerError(Step.CALL, name, "no reply"))


class Zone:
    """Hosts over one log."""

    def __init__(self, count: int) -> None:
        self.streams = MemoryStreams(trio.current_time)
        self.partial_views: dict[str, set[str]] = {}
        self.hosts = {name: Host(self, name) for name in (f"a{n}" for n in range(count))}

    @property
    def reader(self) -> Host:
        """The host that all choose as the reader."""
        return self.hosts[first_by_rank(STREAM, self.hosts)]

    def seen_by(self, name: str) -> set[str]:
        """Return the hosts that `name` takes for alive."""
        return self.partial_views.get(name, set(self.hosts))

    def append(self, value: int) -> float:
        """Append a record; return when."""
        self.streams.append(STREAM, (value,))
        return trio.current_time()

    def delays(self, value: int, since: float) -> list[float]:
        """Return how long each host waited for a record."""
        return [host.got_at.get(value, float("inf")) - since for host in self.hosts.values()]


@fixture
def zone() -> Iterator[type[Zone]]:
    """Return what makes a zone; it needs a running clock."""
    yield Zone


async def test_of_a_zone_only_the_reader_goes_on_reading_the_log(zone):
    for count in (4, 16):
        direct, relayed = zone(count), zone(count)
        direct.partial_views = {name: set() for name in direct.hosts}
        await _run(direct)
        await _run(relayed)
        others = [host.log.reads for host in relayed.hosts.values() if host is not relayed.reader]
        assert others == [1] * (count - 1)
        assert sum(host.log.reads for host in direct.hosts.values()) >= 10 * count


async def test_every_host_gets_every_record_in_order(zone):
    made = zone(5)
    async with trio.open_nursery() as nursery:
        _start(nursery, made)
        for value in range(200):
            made.append(value)
            await trio.sleep(0.05)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    assert all(host.got == list(range(200)) for host in made.hosts.values())


async def test_hosts_read_for_themselves_when_the_reader_is_frozen(zone):
    made = zone(4)
    async with trio.open_nursery() as nursery:
        _start(nursery, made)
        await trio.sleep(10.0)
        made.reader.frozen = True
        since = made.append(1)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert max(made.delays(1, since)) <= 7.0


async def test_hosts_read_for_themselves_when_the_reader_is_cut_from_the_log(zone):
    made = zone(4)
    async with trio.open_nursery() as nursery:
        _start(nursery, made)
        await trio.sleep(10.0)
        made.reader.log.down = True
        since = made.append(1)
        await trio.sleep(RUN_S)
        others = [d for d in made.delays(1, since) if d != float("inf")]
        nursery.cancel_scope.cancel()
    assert len(others) == 3
    assert max(others) <= 7.0


async def test_hosts_that_each_take_the_other_for_the_reader_do_not_wait_for_ever(zone):
    made = zone(2)
    first, second = sorted(made.hosts, key=lambda name: name != first_by_rank(STREAM, made.hosts))
    made.partial_views = {first: {first}, second: {first, second}}
    made.hosts[first].relay.serve = _not_reader
    async with trio.open_nursery() as nursery:
        _start(nursery, made)
        await trio.sleep(10.0)
        since = made.append(1)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert max(made.delays(1, since)) <= 7.0


async def test_reader_avoided_for_one_stream_is_still_asked_for_the_others():
    asked: list[tuple[str, str]] = []

    async def ask(name: str, stream: str, offset: int, wait_s: float):
        asked.append((name, stream))
        state = RelayState.STALE if stream == "ledger" else RelayState.PAGE
        return Ok(RelayAnswer(state, Page(0, 0, 0, ())))

    def choose(stream: str, avoided: frozenset[str]) -> str | None:
        return next((name for name in ("a1", "a2") if name not in avoided), None)

    relay = RelayedLog(FakeEventLog(MemoryStreams(trio.current_time)), choose, ask)
    for stream in ("ledger", "ledger", "once"):
        await relay.read(stream, 0, 1.0)
    assert asked == [("a1", "ledger"), ("a2", "ledger"), ("a1", "once")]


async def _not_reader(stream: str, offset: int, wait_s: float) -> RelayAnswer:
    return RelayAnswer(RelayState.NOT_READER)


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
