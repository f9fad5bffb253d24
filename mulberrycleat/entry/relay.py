"""The store as reached directly, or through another host where it turns this one away."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any, TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.store import (
    AppendOutcome,
    DirectoryUpdate,
    MapUpdate,
    RecordUpdate,
    StateStore,
)
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.client import BaseHttpClient

__all__ = ["RelayServer", "RelayedStore"]

T = TypeVar("T")

# Between two tries of the store itself while it does not answer this host.
DIRECT_EVERY_S = 0.8
# Longest wait for another host's answer; it has asked the store before.
RELAY_TIMEOUT_S = 1.0
RELAY_TRIES = 2
MESSAGE_TYPE = "application/msgpack"
PATH = "/store/{call}"


class _Ask(msgspec.Struct):
    """One call; which fields count depends on the call."""

    offset: int | None = None
    record: HolderRecord | None = None


class RelayedStore:
    """:class:`StateStore` that goes through other hosts while the store turns this one away.

    Parameters
    ----------
    inner : StateStore
        The store itself.
    client : BaseHttpClient
        HTTP towards other hosts.
    peers : callable
        Returns the addresses of other hosts.
    decisions : DecisionLog
        Where a lost or regained store is told.
    random : Random
        Source of the choice among hosts.
    """

    def __init__(
        self,
        inner: StateStore,
        client: BaseHttpClient,
        peers: Callable[[], Sequence[str]],
        decisions: DecisionLog,
        random: Random,
    ) -> None:
        self._inner = inner
        self._client = client
        self._peers = peers
        self._decisions = decisions
        self._random = random
        self._lost_at: float | None = None
        self._direct_at = float("-inf")
        self._relayed = 0

    @property
    def inner(self) -> StateStore:
        """The store itself."""
        return self._inner

    @property
    def lost(self) -> bool:
        """Whether the store did not answer this host last."""
        return self._lost_at is not None

    @property
    def relayed(self) -> int:
        """Calls that went through another host so far."""
        return self._relayed

    async def read_map(self, offset: int | None, wait_s: float) -> Result[MapUpdate, PeerError]:
        """Return the newest route map since `offset`."""
        ask = _Ask(offset)
        return await self._either(
            lambda: self._inner.read_map(offset, wait_s), "read_map", ask, MapUpdate
        )

    async def read_entries(self, offset: int | None) -> Result[DirectoryUpdate, PeerError]:
        """Return changes of entries since `offset`."""
        ask = _Ask(offset)
        return await self._either(
            lambda: self._inner.read_entries(offset), "read_entries", ask, DirectoryUpdate
        )

    async def read_slices(self, offset: int | None) -> Result[RecordUpdate, PeerError]:
        """Return records of slices since `offset`."""
        ask = _Ask(offset)
        return await self._either(
            lambda: self._inner.read_slices(offset), "read_slices", ask, RecordUpdate
        )

    async def append_slices(
        self, record: HolderRecord, at: int
    ) -> Result[AppendOutcome, PeerError]:
        """Append a record, on condition that the log ends at offset `at`."""
        ask = _Ask(at, record)
        return await self._either(
            lambda: self._inner.append_slices(record, at), "append_slices", ask, AppendOutcome
        )

    async def _either(
        self,
        direct: Callable[[], Awaitable[Result[T, PeerError]]],
        call: str,
        ask: _Ask,
        kind: type[T],
    ) -> Result[T, PeerError]:
        now = trio.current_time()
        first: Result[T, PeerError] | None = None
        if self._lost_at is None or now - self._direct_at >= DIRECT_EVERY_S:
            self._direct_at = now
            first = await direct()
            self._note(first)
            # An append that may have been done is not sent again another way.
            if isinstance(first, Ok) or (call == "append_slices" and first.err_value.sent):
                return first
        return await self._relay(call, ask, kind, first)

    async def _relay(
        self, call: str, ask: _Ask, kind: type[T], first: Result[T, PeerError] | None
    ) -> Result[T, PeerError]:
        last = first or Err(PeerError(Step.CALL, "store", "the store is out of reach", False))
        peers = list(self._peers())
        self._random.shuffle(peers)
        body = msgspec.msgpack.encode(ask)
        for peer in peers[:RELAY_TRIES]:
            self._relayed += 1
            outcome = await self._client.request(
                "POST",
                f"http://{peer}/store/{call}",
                body,
                {"content-type": MESSAGE_TYPE},
                RELAY_TIMEOUT_S,
                Step.CALL,
                RELAY_TIMEOUT_S,
            )
            match outcome:
                case Ok(answer) if answer.status == 200:
                    try:
                        return Ok(msgspec.msgpack.decode(answer.body, type=kind))
                    except msgspec.DecodeError as error:
                        last = Err(PeerError(Step.CALL, peer, f"{call}: {error}"))
                case Ok(answer):
                    sent = answer.status != 503
                    last = Err(PeerError(Step.CALL, peer, f"{call}: {answer.status}", sent))
                case Err(error):
                    last = Err(error)
            if call == "append_slices" and last.err_value.sent:
                return last
        return last

    def _note(self, outcome: Result[Any, PeerError]) -> None:
        now = trio.current_time()
        match outcome:
            case Ok(_) if self._lost_at is not None:
                out_s = round(now - self._lost_at, 3)
                self._decisions.warn("store regained", peer="store", out_s=out_s)
                self._lost_at = None
            case Err(error) if self._lost_at is None:
                self._decisions.warn("store lost", peer="store", why=str(error))
                self._lost_at = now


class RelayServer:
    """Answers other hosts that the store turns away.

    Parameters
    ----------
    store : RelayedStore
        This host's way to the store; others' calls are not relayed any further.
    known_map : callable
        Returns this host's route map as news, for a host that starts while nobody reaches the
        store; None before there is one.
    known_entries : callable
        Likewise for the endpoints' entries.
    """

    def __init__(
        self,
        store: RelayedStore,
        known_map: Callable[[], MapUpdate | None],
        known_entries: Callable[[], DirectoryUpdate | None],
    ) -> None:
        self._store = store
        self._known_map = known_map
        self._known_entries = known_entries

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        return (Route("POST", PATH, self._serve),)

    async def _serve(self, request: Request, responder: Responder) -> Reply:
        try:
            ask = msgspec.msgpack.decode(request.body, type=_Ask)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        outcome = await self._outcome(request.params["call"], ask)
        match outcome:
            case None:
                return Reply(404)
            case Ok(news):
                body = msgspec.msgpack.encode(news)
                return Reply(200, body, (("content-type", MESSAGE_TYPE),))
            case Err(error):
                return Reply(502 if error.sent else 503, str(error).encode())

    async def _outcome(self, call: str, ask: _Ask) -> Result[Any, PeerError] | None:
        inner, lost = self._store.inner, self._store.lost
        out_of_reach = Err(PeerError(Step.CALL, "store", "out of reach of this host too", False))
        match call:
            case "read_map" if lost:
                return _known(self._known_map(), out_of_reach)
            case "read_map":
                return await inner.read_map(ask.offset, 0.0)
            case "read_entries" if lost:
                return _known(self._known_entries(), out_of_reach)
            case "read_entries":
                return await inner.read_entries(ask.offset)
            case "read_slices" if not lost:
                return await inner.read_slices(ask.offset)
            case "append_slices" if not lost and ask.record is not None and ask.offset is not None:
                return await inner.append_slices(ask.record, ask.offset)
            case "read_slices" | "append_slices":
                return out_of_reach
        return None


def _known(news: Any, otherwise: Result[Any, PeerError]) -> Result[Any, PeerError]:
    return otherwise if news is None else Ok(news)
