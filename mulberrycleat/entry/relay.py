"""Access to the store, directly or through another host while this host can't reach it."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Annotated, Any, TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Position, Step
from mulberrycleat.endpoint.reports import EndpointReport
from mulberrycleat.endpoint.stream_origins import HostVersions, OriginRecord, StreamOrigin
from mulberrycleat.entry.coordinators import HostEntry
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.store import (
    AppendOutcome,
    DirectoryUpdate,
    HostUpdate,
    MapUpdate,
    OriginUpdate,
    RecordUpdate,
    ReportUpdate,
    StateStore,
)
from mulberrycleat.entry.store_outage import ATTEMPTS, StoreOutage
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.prepaid.sharding import SHARDS
from mulberrycleat.routes import RouteMap
from mulberrycleat.web.client import BaseHttpClient

__all__ = ["MESSAGE_TYPE", "RELAY_PATH", "CallArguments", "RelayedStore"]

T = TypeVar("T")

# Longest wait for another host's answer, in seconds; includes that host's call to the store.
RELAY_TIMEOUT_S = 1.0
# Limits of a relayed answer that has begun, in seconds: without any part of it, and until its end.
# The largest record of the store, of 256 KiB, arrives in that time at 1 Mbit/s.
RELAY_STALL_S, RELAY_ARRIVAL_S = 0.4, 2.5
# Other hosts asked for what they remember of the route map. One that was cut off for longer may
# remember an older state than the others.
MEMORY_ATTEMPTS = 4
# Calls whose results other hosts remember.
REMEMBERED_CALLS = {"read_map", "read_entries", "read_hosts"}
# Longest wait of a loop for the return of the store while no host is believed to reach it, in
# seconds. The loop is woken by the return; the bound covers a return that was missed.
MAX_PAUSE_S = 2.0
# Other hosts asked for the origin of a stream, which any of them may know. Their answers take some
# milliseconds.
ORIGIN_ATTEMPTS, ORIGIN_TIMEOUT_S = 16, 0.2
MESSAGE_TYPE = "application/msgpack"
RELAY_PATH = "/store/{call}"


class CallArguments(msgspec.Struct):
    """Arguments of a relayed call; which of them are used depends on the call.

    Attributes
    ----------
    takes_as_of : bool
        Whether a host that asks for entries of endpoints can decode the field `as_of` of the
        answer. Builds before that field can't.
    """

    position: Position | None = None
    record: HolderRecord | None = None
    entry: HostEntry | None = None
    shard: Annotated[int, msgspec.Meta(ge=0, lt=SHARDS)] = 0
    host: str = ""
    reports: tuple[EndpointReport, ...] = ()
    origins: tuple[OriginRecord, ...] = ()
    request: str = ""
    takes_as_of: bool = False


class _CutOffError(PeerError):
    """Error of another host, which states that the store has not answered it either."""


class RelayedStore:
    """:class:`StateStore` that calls through other hosts while this host can't reach the store.

    While no host is believed to reach it, calls fail at once, apart from few direct ones, and
    :meth:`pause` waits for its return. An append that the store may have received is not sent again
    through another host.

    Parameters
    ----------
    inner : StateStore
        Direct access to the store.
    client : BaseHttpClient
        HTTP client for calls to other hosts.
    peers : callable
        Returns the addresses of other hosts.
    decisions : DecisionLog
        Log of the start and end of each outage.
    random : Random
        Source of the random order in which hosts are tried.
    on_lost, on_returned : callable, optional
        Called at the start of each outage, and when the store can be reached again, directly or
        through another host.
    """

    def __init__(
        self,
        inner: StateStore,
        client: BaseHttpClient,
        peers: Callable[[], Sequence[str]],
        decisions: DecisionLog,
        random: Random,
        on_lost: Callable[[], None] = lambda: None,
        on_returned: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_lost = on_lost
        self._on_returned = on_returned
        self._inner = inner
        self._client = client
        self._peers = peers
        self._decisions = decisions
        self._random = random
        self._outage = StoreOutage(random)
        self._returned = trio.Event()
        self._round_ended: trio.Event | None = None
        self._asking: set[trio.CancelScope] = set()
        self._has_prober = False
        self._relayed = 0

    @property
    def inner(self) -> StateStore:
        """Direct access to the store."""
        return self._inner

    @property
    def arriving(self) -> bool:
        """Whether a part of a direct answer has arrived whose rest is still awaited."""
        return self._inner.arriving

    @property
    def lost(self) -> bool:
        """Whether the store did not answer this host's latest direct call.

        While a part of another answer is arriving, an answer that is missing does not count: it may
        wait behind that one on a slow link.
        """
        return self._outage.lost_at is not None

    @property
    def in_reach_since(self) -> float:
        """Time since which the store answers this host, in seconds on trio's clock.

        It is -inf before the first outage, and inf during one.
        """
        return math.inf if self.lost else self._outage.regained_at

    @property
    def lost_everywhere(self) -> bool:
        """Whether no host is believed to reach the store."""
        return self._outage.is_general(trio.current_time())

    @property
    def relayed(self) -> int:
        """Number of calls to the store sent through other hosts so far."""
        return self._relayed

    async def pause(self, interval_s: float) -> None:
        """Wait before a failed call is made again: `interval_s` seconds, or for the store's return.

        The latter while no host is believed to reach the store. One of those that wait goes on when
        the next direct call is due, and makes it; the others wait for a limited time.
        """
        now = trio.current_time()
        if not self.lost_everywhere:
            await trio.sleep(interval_s)
            return
        is_prober, self._has_prober = not self._has_prober, True
        try:
            wait_until = self._outage.next_direct_at if is_prober else now + MAX_PAUSE_S
            with trio.move_on_at(max(wait_until, now)):
                await self._returned.wait()
        finally:
            if is_prober:
                self._has_prober = False

    async def read_map(
        self,
        position: Position | None,
        wait_s: float,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[MapUpdate, PeerError]:
        """Return the newest route map since `position`.

        Calls that find out whether the store is in reach again don't wait for a map.
        """
        arguments = CallArguments(position)
        wait_s = 0.0 if self.lost else wait_s
        return await self._call(
            lambda: self._inner.read_map(position, wait_s, on_answer),
            "read_map",
            arguments,
            MapUpdate,
        )

    async def recall_map(self) -> MapUpdate | None:
        """Return the newest route map that one of some other hosts knows, None if none answers."""
        peers = list(self._peers())
        self._random.shuffle(peers)
        found: list[MapUpdate] = []

        async def ask(peer: str) -> None:
            match await self._ask_peer(peer, "known_map", CallArguments(), MapUpdate):
                case Ok(update):
                    found.append(update)
                case Err(error):
                    self._decisions.info("route map not recalled", peer=peer, why=str(error))

        async with trio.open_nursery() as nursery:
            for peer in peers[:MEMORY_ATTEMPTS]:
                nursery.start_soon(ask, peer)
        return _newest(found) if found else None

    async def read_entries(self, position: Position | None) -> Result[DirectoryUpdate, PeerError]:
        """Return changes of the endpoints' entries since `position`."""
        arguments = CallArguments(position, takes_as_of=True)
        return await self._call(
            lambda: self._inner.read_entries(position), "read_entries", arguments, DirectoryUpdate
        )

    async def read_slices(
        self, shard: int, position: Position | None
    ) -> Result[RecordUpdate, PeerError]:
        """Return records of the hosts' slices of a shard since `position`."""
        arguments = CallArguments(position, shard=shard)
        return await self._call(
            lambda: self._inner.read_slices(shard, position), "read_slices", arguments, RecordUpdate
        )

    async def append_slices(
        self, shard: int, record: HolderRecord, at: Position
    ) -> Result[AppendOutcome, PeerError]:
        """Append a record on condition that the log of the shard ends at position `at`."""
        arguments = CallArguments(at, record, shard=shard)
        return await self._call(
            lambda: self._inner.append_slices(shard, record, at),
            "append_slices",
            arguments,
            AppendOutcome,
        )

    async def read_hosts(self, position: Position | None) -> Result[HostUpdate, PeerError]:
        """Return the entries of entry hosts appended since `position`."""
        arguments = CallArguments(position)
        return await self._call(
            lambda: self._inner.read_hosts(position), "read_hosts", arguments, HostUpdate
        )

    async def append_host(self, entry: HostEntry) -> Result[AppendOutcome, PeerError]:
        """Append the entry of an entry host."""
        arguments = CallArguments(entry=entry)
        return await self._call(
            lambda: self._inner.append_host(entry), "append_host", arguments, AppendOutcome
        )

    async def read_reports(
        self, position: Position, wait_s: float
    ) -> Result[ReportUpdate, PeerError]:
        """Return reports on endpoints since `position`.

        Calls through other hosts don't wait for a report, nor do those that find out whether the
        store is in reach again.
        """
        arguments = CallArguments(position)
        wait_s = 0.0 if self.lost else wait_s
        return await self._call(
            lambda: self._inner.read_reports(position, wait_s),
            "read_reports",
            arguments,
            ReportUpdate,
        )

    async def append_reports(
        self, host: str, records: tuple[EndpointReport, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append reports of a host."""
        arguments = CallArguments(host=host, reports=records)
        return await self._call(
            lambda: self._inner.append_reports(host, records),
            "append_reports",
            arguments,
            AppendOutcome,
        )

    async def read_origins(self, position: Position) -> Result[OriginUpdate, PeerError]:
        """Return origins of streams recorded since `position`."""
        arguments = CallArguments(position)
        return await self._call(
            lambda: self._inner.read_origins(position), "read_origins", arguments, OriginUpdate
        )

    async def append_origins(
        self, host: str, records: tuple[OriginRecord, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append origins of streams that began at a host."""
        arguments = CallArguments(host=host, origins=records)
        return await self._call(
            lambda: self._inner.append_origins(host, records),
            "append_origins",
            arguments,
            AppendOutcome,
        )

    async def recall_origin(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream if one of some other hosts remembers it."""
        peers = list(self._peers())
        self._random.shuffle(peers)
        found: list[StreamOrigin] = []

        async def ask(peer: str, nursery: trio.Nursery) -> None:
            arguments = CallArguments(request=request_id)
            match await self._ask_peer(peer, "known_origin", arguments, StreamOrigin | None):
                case Ok(origin) if origin is not None:
                    found.append(origin)
                    nursery.cancel_scope.cancel()
                case Err(error):
                    self._decisions.info("stream origin not recalled", peer=peer, why=str(error))

        with trio.move_on_after(ORIGIN_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for peer in peers[:ORIGIN_ATTEMPTS]:
                    nursery.start_soon(ask, peer, nursery)
        return found[0] if found else None

    async def recall_versions(
        self, own: str, others: Sequence[str]
    ) -> tuple[StreamOrigin, ...] | None:
        """Return the versions in service that any other host knows, None if one is silent.

        A host that another one knows and this one doesn't counts as silent.

        Parameters
        ----------
        own, others : str, sequence of str
            Addresses of this host and of all others.
        """
        found: list[HostVersions] = []

        async def ask(peer: str) -> None:
            match await self._ask_peer(peer, "known_versions", CallArguments(), HostVersions):
                case Ok(versions):
                    found.append(versions)
                case Err(error):
                    self._decisions.info("versions not recalled", peer=peer, why=str(error))

        with trio.move_on_after(ORIGIN_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for peer in others:
                    nursery.start_soon(ask, peer)
        hosts = {host for versions in found for host in versions.hosts}
        if len(found) < len(others) or hosts - {own, *others}:
            return None
        return tuple(origin for versions in found for origin in versions.origins)

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result[T, PeerError]]],
        call: str,
        arguments: CallArguments,
        kind: type[T],
    ) -> Result[T, PeerError]:
        first: Result[T, PeerError] | None = None
        while True:
            began_at = trio.current_time()
            if self._outage.begin_direct(began_at):
                first = await direct()
                self._update_reachability(first, began_at)
                # An append that the store may have received is not sent again through another host.
                if isinstance(first, Ok) or (call == "append_slices" and first.err_value.sent):
                    return first
            if not self.lost or self._outage.helper or self._round_ended is None:
                break
            # Another call finds out whether any host reaches the store. Hosts that are frozen hold
            # it up, but not the next direct call.
            with trio.move_on_at(self._outage.next_direct_at) as scope:
                await self._round_ended.wait()
            if scope.cancelled_caught and first is not None and self.lost:
                return first
        if not self.lost:
            return await self._relay(call, arguments, kind, first)
        if not self._may_ask(call, arguments):
            error = PeerError(Step.CALL, "store", "store unreachable from all hosts", False)
            return first or Err(error)
        with trio.CancelScope() as asking:
            # A read is made directly as soon as the store is back. An append may have been sent.
            if call.startswith("read_"):
                self._asking.add(asking)
            try:
                if self._outage.helper:
                    return await self._relay(call, arguments, kind, first)
                return await self._ask_round(call, arguments, kind, first)
            finally:
                self._asking.discard(asking)
        return await self._call(direct, call, arguments, kind)

    async def _ask_round(
        self,
        call: str,
        arguments: CallArguments,
        kind: type[T],
        first: Result[T, PeerError] | None,
    ) -> Result[T, PeerError]:
        """Send a call through other hosts while other calls wait for what they state."""
        if self._round_ended is not None:
            return await self._relay(call, arguments, kind, first)
        self._round_ended = trio.Event()
        try:
            return await self._relay(call, arguments, kind, first)
        finally:
            self._round_ended.set()
            self._round_ended = None

    def _may_ask(self, call: str, arguments: CallArguments) -> bool:
        """Whether other hosts are asked now: one may reach the store, or remembers the result."""
        now = trio.current_time()
        may_recall = call in REMEMBERED_CALLS and self._outage.may_recall(
            call, arguments.position is not None, now
        )
        return may_recall or not self._outage.is_general(now)

    async def _relay(
        self,
        call: str,
        arguments: CallArguments,
        kind: type[T],
        first: Result[T, PeerError] | None,
    ) -> Result[T, PeerError]:
        """Send a call through other hosts; `first` is the outcome of the direct call, if any.

        If no host that is tried reaches the store, the result is the newest state that one of them
        remembers.
        """
        remembered: list[T] = []
        last = first or Err(PeerError(Step.CALL, "store", "store unreachable", False))
        peers = self._outage.order(self._peers())
        # No host is believed to reach the store: the question is for what one remembers.
        recalls_only = self.lost_everywhere and arguments.position is not None
        attempts, most = (1, 1) if recalls_only else (ATTEMPTS, self._outage.max_attempts)
        asked = stated = 0
        for peer in peers:
            if asked >= (most if asked == stated else attempts):
                break
            asked += 1
            match await self._ask_peer(peer, call, arguments, kind, RELAY_ARRIVAL_S):
                case Ok(update) if not _is_from_memory(update):
                    self._record_reached(peer)
                    return Ok(update)
                case Ok(update):
                    remembered.append(update)
                    stated += 1
                case Err(error) as last:
                    stated += isinstance(error, _CutOffError)
            self._outage.record_answer(peer, False)
            if call == "append_slices" and isinstance(last, Err) and last.err_value.sent:
                break
        if self._outage.record_round(asked, stated, len(peers), trio.current_time()):
            self._decisions.info("store lost by all", peer="store", asked=asked, stated=stated)
        if remembered:
            self._decisions.info("answered from memory", step=call, stated=stated, asked=asked)
            return Ok(_newest(remembered))
        return last

    def _record_reached(self, peer: str) -> None:
        """Note that another host has reached the store for this one."""
        was_general = self.lost_everywhere
        if peer != self._outage.helper:
            self._decisions.info("store reached through another host", peer=peer)
        self._outage.record_answer(peer, True)
        if was_general:
            self._announce_return()

    def _announce_return(self) -> None:
        """Wake all that wait for the store."""
        self._returned.set()
        self._returned = trio.Event()
        self._on_returned()

    async def _ask_peer(
        self,
        peer: str,
        call: str,
        arguments: CallArguments,
        kind: type[T],
        arrival_s: float = 0.0,
    ) -> Result[T, PeerError]:
        """Send a call to another host and decode the answer.

        An answer that keeps arriving may take `arrival_s` seconds longer than one that doesn't.
        """
        self._relayed += 1
        outcome = await self._client.request(
            "POST",
            f"http://{peer}/store/{call}",
            msgspec.msgpack.encode(arguments),
            {"content-type": MESSAGE_TYPE},
            RELAY_TIMEOUT_S,
            Step.CALL,
            RELAY_TIMEOUT_S + arrival_s,
            head_timeout_s=RELAY_TIMEOUT_S,
            stall_timeout_s=RELAY_STALL_S,
        )
        match outcome:
            case Ok(answer) if answer.status == 200:
                try:
                    return Ok(msgspec.msgpack.decode(answer.body, type=kind))
                except msgspec.DecodeError as error:
                    return Err(PeerError(Step.CALL, peer, f"{call}: {error}"))
            case Ok(answer):
                # With 503, the other host states that the store has not received the call.
                sent = answer.status != 503
                return Err(_CutOffError(Step.CALL, peer, f"{call}: {answer.status}", sent))
            case Err(error):
                return Err(error)

    def _update_reachability(self, outcome: Result[Any, PeerError], began_at: float) -> None:
        """Log the start or the end of an outage, as shown by the outcome of a direct call."""
        now = trio.current_time()
        lost_at = self._outage.lost_at
        match outcome:
            case Ok(_):
                self._outage.record_direct(True, began_at, now)
                if lost_at is not None:
                    out_s = round(now - lost_at, 3)
                    self._decisions.warning("store regained", peer="store", out_s=out_s)
                    self._announce_return()
                    for asking in self._asking:
                        asking.cancel()
            case Err(error) if lost_at is None and (
                (error.sent and self._inner.arriving) or self._outage.is_late(began_at)
            ):
                self._decisions.info("store call failed", peer="store", why=str(error))
            case Err(error):
                self._outage.record_direct(False, began_at, now)
                if lost_at is None:
                    self._decisions.warning("store lost", peer="store", why=str(error))
                    self._on_lost()


def _is_from_memory(update: Any) -> bool:
    """Whether another host answered from its memory, since it can't reach the store either."""
    is_read = isinstance(update, MapUpdate | DirectoryUpdate | HostUpdate)
    return is_read and update.next is None


def _newest(remembered: list[Any]) -> Any:
    """Return the newest of what several hosts remember.

    A route map comes with the evacuations that any of them knows.
    """
    newest = max(remembered, key=_order_of)
    if not isinstance(newest, MapUpdate):
        return newest
    known = dict.fromkeys(state for update in remembered for state in update.evacuations)
    return newest._replace(evacuations=tuple(known))


def _order_of(update: Any) -> tuple[int, ...]:
    """Return what orders remembered states of one kind by their age, as far as it is known."""
    match update:
        case MapUpdate(route_map=RouteMap(version=version)):
            return (version,)
        case DirectoryUpdate(as_of=Position() as position):
            return tuple(position)
    return (-1,)
