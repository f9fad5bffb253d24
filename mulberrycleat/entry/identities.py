"""Controller of the endpoints' starts: which version of its software an endpoint really runs.

An entry of the directory is as old as its last read, and an endpoint may have started again since,
with another version. What an endpoint says of itself on a connection holds for all that it answers
on that connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from weakref import WeakKeyDictionary

import trio

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.stream_origins import StreamOrigin, unknown_version
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoints import EndpointRegistry
from mulberrycleat.entry.protocol import HeaderCodec
from mulberrycleat.entry.stream_origins import OriginController
from mulberrycleat.web.upstream import ConnectError, Connection, ConnectionPool, ExchangeError

__all__ = ["AttemptConnections", "EndpointIdentities"]

# Longest wait for what an endpoint says of itself, in seconds; the same as for a connection.
ASK_TIMEOUT_S = 0.25
# Most bytes of it that are read.
MAX_IDENTITY_BYTES = 262_144
# Connections on which an endpoint is asked for one request: it may close the first one after its
# answer, or send an earlier answer once more there. The second one is new.
ASK_ATTEMPTS = 2
# The directory is taken to be current for this many of its read intervals after a read.
CURRENT_READS = 2.0


class EndpointIdentities:
    """Finds out whether the endpoint at a connection is the one that the directory describes.

    Parameters
    ----------
    connections : ConnectionPool
        Connections to endpoints.
    codec : HeaderCodec
        Writes the question, and reads the answer.
    registry : EndpointRegistry
        Told of endpoints that have started again.
    origins : OriginController
        Told of streams whose version turns out not to be known.
    directory_age_s : callable
        Returns the time since the directory was last read from the store, in seconds.
    read_interval_s : callable
        Returns the interval between two reads of the directory, in seconds.
    decisions : DecisionLog
        Log of endpoints that have started again.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        codec: HeaderCodec,
        registry: EndpointRegistry,
        origins: OriginController,
        directory_age_s: Callable[[], float],
        read_interval_s: Callable[[], float],
        decisions: DecisionLog,
    ) -> None:
        self._connections = connections
        self._codec = codec
        self._registry = registry
        self._origins = origins
        self._unasked: set[AttemptConnections] = set()
        self._directory_age_s = directory_age_s
        self._read_interval_s = read_interval_s
        self._decisions = decisions
        self._stated: WeakKeyDictionary[Connection, float | None] = WeakKeyDictionary()

    @property
    def connections(self) -> ConnectionPool:
        """Connections to endpoints."""
        return self._connections

    def directory_is_current(self) -> bool:
        """Whether the directory was read from the store a short time ago."""
        return self._directory_age_s() <= CURRENT_READS * self._read_interval_s()

    def observe(self, entries: Iterable[Entry]) -> None:
        """Apply entries that were read: streams may have begun after a start that they tell of."""
        for entry in entries:
            for attempt in list(self._unasked):
                if attempt.is_outdated(entry):
                    self._doubt(attempt, entry)

    def _doubt(self, attempt: AttemptConnections, entry: Entry) -> None:
        """Let a stream go on nowhere, as the endpoint started before or after the stream began."""
        request_id, progress = attempt.call.facts.request_id, attempt.call.progress
        began = progress.version is not None
        attempt.version = unknown_version(entry.id, entry.born)
        self._decisions.info(
            "stream of unknown version", request=request_id, endpoint=entry.id, began=began
        )
        if began:
            progress.version = attempt.version
            self._origins.correct(request_id, StreamOrigin(entry.pool, attempt.version))

    def forget(self, attempt: AttemptConnections) -> None:
        """Forget an attempt that has ended."""
        self._unasked.discard(attempt)

    async def acquire_unasked(
        self, attempt: AttemptConnections, address: str, max_idle_s: float
    ) -> Connection:
        """Return a connection at which nothing is asked; raises :class:`ConnectError`.

        If a start of the endpoint becomes known that its entry did not tell of, before the attempt
        has ended, its version is taken back.
        """
        self._unasked.add(attempt)
        request_id = attempt.call.facts.request_id
        return await self._connections.acquire(address, max_idle_s, request_id)

    async def acquire(
        self, entry: Entry, max_idle_s: float, request_id: str
    ) -> tuple[Connection, float | None]:
        """Return a connection to an endpoint, and the start that it states there, None if none.

        Raises :class:`ConnectError`.
        """
        for attempt in range(ASK_ATTEMPTS):
            if attempt:
                connection = await self._connections.open(entry.address)
            else:
                connection = await self._connections.acquire(entry.address, max_idle_s, request_id)
            if connection in self._stated:
                return connection, self._stated[connection]
            usable = False
            try:
                born, usable = await self._ask(connection)
            except ExchangeError as error:
                # On a used connection, bytes that belong to no request may have come instead.
                if connection.reused:
                    continue
                raise ConnectError(f"identity not known: {error}") from error
            finally:
                if not usable:
                    connection.close()
            if usable:
                self._stated[connection] = born
                self._note(entry, born)
                return connection, born
        raise ConnectError(f"connect {entry.address}: no use after the identity was asked for")

    async def _ask(self, connection: Connection) -> tuple[float | None, bool]:
        """Return the start that the endpoint states, and whether the connection stays usable.

        The question has no id. On a connection that was used before, an earlier answer may come
        once more, so an answer has to tell by itself that it belongs to the question: it names no
        request, and states a start.
        """
        with trio.move_on_after(ASK_TIMEOUT_S):
            method, target, headers = self._codec.identity_request(connection.address)
            await connection.send(method, target, headers, b"")
            head = await connection.read_head()
            if connection.reused and self._codec.read_answer(head).request_id:
                return None, False
            body = b""
            while chunk := await connection.read_chunk():
                body += chunk
                if len(body) > MAX_IDENTITY_BYTES:
                    raise ExchangeError(f"receive {connection.address}: identity too large")
            born = self._codec.read_identity(head, body)
            is_told = born is not None or not connection.reused
            return born, is_told and connection.start_next() and not connection.has_data()
        raise ConnectError(f"connect {connection.address}: identity not stated in time")

    def _note(self, entry: Entry, born: float | None) -> None:
        if born is None or not entry.born or born == entry.born:
            return
        if self._registry.record_restart(entry):
            self._decisions.warning(
                "endpoint started again", endpoint=entry.id, born=born, listed=entry.born
            )
            # Otherwise, its next entry is about to be read, and tells its version.
            if not self.directory_is_current():
                self.observe([replace(entry, born=born, version=unknown_version(entry.id, born))])


class AttemptConnections:
    """Connections for one attempt of a request at one endpoint.

    A stream goes on only at an endpoint whose version is known from after its last start. A stream
    may begin at any; if the directory is not current, the endpoint is asked for its start.

    Parameters
    ----------
    identities : EndpointIdentities
        Asks endpoints.
    call, entry : EntryCall, Entry
        The request, and the endpoint that was chosen for it.

    Attributes
    ----------
    version : str
        Version of the endpoint at the connection; if it is not known, a name of no version.
    """

    def __init__(self, identities: EndpointIdentities, call: EntryCall, entry: Entry) -> None:
        self._identities = identities
        self._entry = entry
        self.call = call
        self.version = entry.version
        self.put_back = identities.connections.put_back

    def end(self) -> None:
        """Forget the attempt, which has ended."""
        self._identities.forget(self)

    def is_outdated(self, entry: Entry) -> bool:
        """Whether a newly read entry tells of another start of the endpoint, and another version.

        An attempt after which another endpoint was tried is not outdated: its connection may have
        ended with the earlier start.
        """
        return (
            entry.id == self._entry.id == self.call.progress.endpoint
            and entry.born != self._entry.born
            and entry.version != self._entry.version
            and self.call.progress.version in (None, self._entry.version)
        )

    async def acquire(self, address: str, max_idle_s: float) -> Connection:
        """Return a connection to the endpoint; raises :class:`ConnectError`.

        It fails if the request needs a certain version, which the endpoint may not have any more.
        """
        goes_on = self.call.required_version is not None
        request_id = self.call.facts.request_id
        is_current = self._identities.directory_is_current()
        if not self.call.route.resumable:
            return await self._identities.connections.acquire(address, max_idle_s, request_id)
        if not goes_on and is_current:
            return await self._identities.acquire_unasked(self, address, max_idle_s)
        connection, born = await self._identities.acquire(self._entry, max_idle_s, request_id)
        is_stated = born is not None and self._entry.born > 0
        if born == self._entry.born if is_stated else is_current:
            return connection
        if goes_on:
            connection.close()
            raise ConnectError(f"connect {address}: the endpoint may have started again")
        self.version = unknown_version(self._entry.id, born)
        return connection
