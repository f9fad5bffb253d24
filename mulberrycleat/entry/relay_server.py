"""Serves other hosts that can't reach the store: calls it for them, or tells what is remembered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Position, Step
from mulberrycleat.endpoint.stream_origins import HostVersions, StreamOrigin
from mulberrycleat.entry.relay import MESSAGE_TYPE, RELAY_PATH, CallArguments, RelayedStore
from mulberrycleat.entry.store import DirectoryUpdate, HostUpdate, MapUpdate
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["RelayServer"]


class RelayServer:
    """Calls the store for other hosts that can't reach it.

    Parameters
    ----------
    store : RelayedStore
        This host's access to the store. Calls of other hosts use its direct access only, so that
        they are not relayed any further.
    known_map : callable
        Returns this host's route map, or None before there is one. It is returned to other hosts
        while this host can't reach the store, so that a host can start during an outage.
    known_entries : callable
        Returns the endpoints' entries for the same purpose, or None if this host can't tell more
        than one that has read the store's log up to a position.
    known_hosts : callable
        Returns the roster of entry hosts for the same purpose, or None before it is read.
    known_origin : callable
        Returns the origin of a stream by its request id, or None if this host does not remember it.
    known_versions : callable
        Returns what this host knows of the versions in service, or None before it has read the
        origins of streams.
    """

    def __init__(
        self,
        store: RelayedStore,
        known_map: Callable[[], MapUpdate | None],
        known_entries: Callable[[Position | None], DirectoryUpdate | None],
        known_hosts: Callable[[], HostUpdate | None],
        known_origin: Callable[[str], StreamOrigin | None],
        known_versions: Callable[[], HostVersions | None],
    ) -> None:
        self._known_versions = known_versions
        self._known_hosts = known_hosts
        self._known_origin = known_origin
        self._store = store
        self._known_map = known_map
        self._known_entries = known_entries

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (Route("POST", RELAY_PATH, self._serve),)

    async def _serve(self, request: Request, responder: Responder) -> Reply:
        try:
            arguments = msgspec.msgpack.decode(request.body, type=CallArguments)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        outcome = await self._call_store(request.params["call"], arguments)
        match outcome:
            case None:
                return Reply(404)
            case Ok(update):
                if isinstance(update, DirectoryUpdate) and not arguments.takes_as_of:
                    update = update[:-1]
                body = msgspec.msgpack.encode(update)
                return Reply(200, body, (("content-type", MESSAGE_TYPE),))
            case Err(error):
                return Reply(502 if error.sent else 503, str(error).encode())

    async def _call_store(
        self, call: str, arguments: CallArguments
    ) -> Result[Any, PeerError] | None:
        """Make a call of another host; return None if there is no such call."""
        inner, lost = self._store.inner, self._store.lost
        unreachable = Err(PeerError(Step.CALL, "store", "out of reach of this host too", False))
        match call:
            case "known_map":
                return _ok_or(self._known_map(), unreachable)
            case "read_map" if lost:
                return _ok_or(self._known_map(), unreachable)
            case "read_map":
                return await inner.read_map(arguments.position, 0.0)
            case "read_entries" if lost:
                return _ok_or(self._known_entries(arguments.position), unreachable)
            case "read_entries":
                return await inner.read_entries(arguments.position)
            case "read_hosts" if lost:
                return _ok_or(self._known_hosts(), unreachable)
            case "read_hosts":
                return await inner.read_hosts(arguments.position)
            case "append_host" if not lost and arguments.entry is not None:
                return await inner.append_host(arguments.entry)
            case "read_slices" if not lost:
                return await inner.read_slices(arguments.shard, arguments.position)
            case "append_slices" if (
                not lost and arguments.record is not None and arguments.position is not None
            ):
                return await inner.append_slices(
                    arguments.shard, arguments.record, arguments.position
                )
            case "read_reports" if not lost and arguments.position is not None:
                return await inner.read_reports(arguments.position, 0.0)
            case "append_reports" if not lost and arguments.reports:
                return await inner.append_reports(arguments.host, arguments.reports)
            case "known_origin":
                return Ok(self._known_origin(arguments.request))
            case "known_versions":
                return _ok_or(self._known_versions(), unreachable)
            case "read_origins" if not lost and arguments.position is not None:
                return await inner.read_origins(arguments.position)
            case "append_origins" if not lost and arguments.origins:
                return await inner.append_origins(arguments.host, arguments.origins)
            case (
                "read_slices"
                | "append_slices"
                | "append_host"
                | "read_reports"
                | "append_reports"
                | "read_origins"
                | "append_origins"
            ):
                return unreachable
        return None


def _ok_or(update: Any, fallback: Result[Any, PeerError]) -> Result[Any, PeerError]:
    return fallback if update is None else Ok(update)
