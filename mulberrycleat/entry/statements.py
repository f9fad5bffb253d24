"""Controller of what endpoints state of themselves in their answers.

An endpoint that asks for a pause means the host whose connection it answers. What it states in an
answer that came through another host is therefore told to that host.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
import trio

from mulberrycleat.endpoint.brittleness import BrittleEndpoints
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.statements import EndpointStatements, Leaving, Pause
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.entry.protocol import AnswerFacts
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["StatementController"]

STATEMENT_PATH = "/endpoints/statements"
# Most statements that wait to be sent; further ones are dropped.
MAX_PENDING = 256


class _Message(msgspec.Struct):
    """Statements of an incarnation of an endpoint."""

    endpoint: Annotated[str, msgspec.Meta(max_length=256)]
    pause_s: Annotated[float, msgspec.Meta(ge=0)] | None
    leaving: bool


class StatementController:
    """Applies what endpoints state in their answers, and exchanges it with other hosts.

    Parameters
    ----------
    statements : EndpointStatements
        What the endpoints state of themselves, as this host knows it.
    brittle : BrittleEndpoints
        Which endpoints are brittle.
    peers : PeerCalls
        Calls to other hosts.
    peer_of : callable
        Returns where another host serves calls, given the address of its tunnels.
    decisions : DecisionLog
        Log of statements.
    """

    def __init__(
        self,
        statements: EndpointStatements,
        brittle: BrittleEndpoints,
        peers: PeerCalls,
        peer_of: Callable[[str], str],
        decisions: DecisionLog,
    ) -> None:
        self._statements = statements
        self._brittle = brittle
        self._peers = peers
        self._peer_of = peer_of
        self._decisions = decisions
        channel = trio.open_memory_channel[tuple[str, _Message]](MAX_PENDING)
        self._pending_in, self._pending = channel

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (Route("POST", STATEMENT_PATH, self._apply),)

    def record_answer(
        self, call: EntryCall, entry: Entry, sent_at: float, facts: AnswerFacts
    ) -> None:
        """Apply what an endpoint states in an answer, and log what changes.

        Parameters
        ----------
        call, entry : EntryCall, Entry
            The request, and the endpoint that answers it.
        sent_at : float
            When the request was sent, in seconds on trio's clock.
        facts : AnswerFacts
            What the answer states.
        """
        now, endpoint = trio.current_time(), entry.incarnation
        fields = {"endpoint": endpoint, "request": call.facts.request_id}
        if self._brittle.observe(entry, facts.rejections_per_s, sent_at, now):
            self._decisions.info(
                "brittleness changed",
                pool=entry.pool,
                rejections_per_s=facts.rejections_per_s,
                **fields,
            )
        if facts.statements and call.progress.helper:
            self._tell(self._peer_of(call.progress.helper), endpoint, facts)
        if facts.fault:
            self._decisions.warning("statement unreadable", why=facts.fault, **fields)
        if facts.pause_s is None and self._statements.record_answer(endpoint, sent_at):
            self._decisions.info("pause ended", **fields)
        for statement in facts.statements:
            if not self._statements.observe(endpoint, statement, now):
                continue
            match statement:
                case Leaving():
                    self._decisions.warning("endpoint leaves", **fields)
                case Pause(seconds):
                    self._decisions.info("endpoint pauses", pause_s=seconds, **fields)

    def _tell(self, peer: str, endpoint: str, facts: AnswerFacts) -> None:
        """Tell another host soon what an incarnation of an endpoint states."""
        if not peer:
            self._decisions.info("statement dropped", endpoint=endpoint, why="the host has left")
            return
        message = _Message(endpoint, facts.pause_s, facts.leaving)
        try:
            self._pending_in.send_nowait((peer, message))
        except trio.WouldBlock:
            self._decisions.warning(
                "statement dropped", peer=peer, endpoint=endpoint, why="too many pending"
            )

    async def run(self) -> None:
        """Send statements to other hosts until cancelled."""
        while True:
            peer, message = await self._pending.receive()
            body = msgspec.msgpack.encode(message)
            await self._peers.call("POST", peer, STATEMENT_PATH, body)

    async def _apply(self, request: Request, responder: Responder) -> Reply:
        try:
            message = msgspec.msgpack.decode(request.body, type=_Message)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        now = trio.current_time()
        if message.pause_s is not None:
            self._statements.observe(message.endpoint, Pause(message.pause_s), now)
        if message.leaving:
            self._statements.observe(message.endpoint, Leaving(), now)
        return Reply(204)
