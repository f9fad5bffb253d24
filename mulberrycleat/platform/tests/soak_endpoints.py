"""Endpoints of a soak: stand-ins on loopback that refuse, repeat, lose and break off answers."""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import h11
import msgspec
import trio

from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.soak_checks import EVENTS, Journal, Run

# Interval of the entries in the directory, in seconds, as in the deployment sheets.
BEAT_S = 1.2
SLOTS = 8
# Share of refusals that state `Retry-After`, 0 to 1.
RETRY_AFTER_SHARE = 0.2
# Longest work on a request, and interval of events, in seconds; a slow endpoint takes longer.
WORK_S = 0.06
EVENT_S = 0.03
SLOW_FACTOR = 8
# Longest time that a request waits in an endpoint's queue, in seconds.
QUEUED_S = 0.25
# An endpoint that loses an answer is silent for this long, in seconds: longer than callers wait.
SILENT_S = 6.0
MAX_BODY_BYTES = 3000
ENTRY = {
    "zone": "z-a", "version": "v1", "slots": SLOTS, "cold_remaining_ms": 0, "stage": "combined",
    "models": [{"name": "m", "version": 1, "adapters": []}],
}  # fmt: skip
# Share of requests, 0 to 1, at which an endpoint has a fault outside a series of it.
FAULT_SHARES = {
    "refuses": 0.1,  # Refuses a request.
    "copies": 0.6,  # Writes a refusal again when its request comes again on the connection.
    "strays": 0.01,  # Writes an earlier answer again, where the next one is due.
    "strays_idle": 0.01,  # Writes an answer again when no request waits.
    "omits_ids": 0.02,  # Omits the request's id in an answer.
    "loses": 0.01,  # Runs a request and doesn't answer it, or only partly.
    "resets": 0.01,  # Resets the connection before it has run a request.
    "queues": 0.1,  # Lets a request wait before it runs.
    "fails": 0.01,  # Answers 500 after running.
    "slows": 0.02,  # Takes longer.
    "closes": 0.02,  # Closes a connection after an answer, and says so.
}
_ENDED = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class _Sent(NamedTuple):
    request_id: str
    is_refusal: bool
    data: bytes


@dataclass(eq=False)
class _Caller:
    """A connection, with the answers that it has carried."""

    stream: trio.SocketStream
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    sent: list[_Sent] = field(default_factory=list)

    def reset_at_close(self) -> None:
        """Let the end of the connection be a reset."""
        with suppress(OSError):
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Endpoint:
    """One incarnation of an endpoint; `place` is its id, its service and its address."""

    def __init__(
        self, place: tuple[str, str, str], store: StoreStandin, journal: Journal, rng: Random
    ) -> None:
        self.id, self.service, self.address = place
        self.fault_shares, self.is_leaving = dict(FAULT_SHARES), False
        self._store, self._journal, self._rng = store, journal, rng
        self._drops_work = rng.random() < 0.8
        self._slowness = rng.choice(("", ",100"))
        self._born = int(time.time() * 1000)
        self._sequence = self._running = 0
        self._callers: set[_Caller] = set()
        self._scope = trio.CancelScope()

    def register(self) -> None:
        self._sequence += 1
        entry = {
            **ENTRY, "service": self.service, "address": self.address, "born": self._born,
            "state": "draining" if self.is_leaving else "ready", "sequence": self._sequence,
        }  # fmt: skip
        self._store.put_endpoint(self.id, entry)

    async def live(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until it crashes or has left."""
        ip, _, port = self.address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=ip)
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._beat)
                task_status.started()
                await trio.serve_listeners(self._serve, listeners)
        for listener in listeners:
            listener.socket.close()

    def crash(self) -> None:
        """End as a killed process does: open connections are reset."""
        self.reset_connections()
        self._scope.cancel()

    def reset_connections(self) -> None:
        for caller in self._callers:
            caller.reset_at_close()
            caller.stream.socket.close()

    async def _beat(self) -> None:
        while True:
            self.register()
            await trio.sleep(BEAT_S)

    def _draw(self, name: str) -> bool:
        return self._rng.random() < self.fault_shares[name]

    async def _serve(self, stream: trio.SocketStream) -> None:
        caller = _Caller(stream)
        self._callers.add(caller)
        try:
            with suppress(*_ENDED, h11.ProtocolError):
                while await self._serve_request(caller):
                    caller.http.start_next_cycle()
                    if self._draw("strays_idle"):
                        await trio.sleep(self._rng.uniform(0, 0.05))
                        await self._write_again(caller, caller.sent, "idle")
        finally:
            self._callers.discard(caller)
            stream.socket.close()

    async def _serve_request(self, caller: _Caller) -> bool:
        request, event = None, None
        while not isinstance(event, h11.EndOfMessage):
            match event := caller.http.next_event():
                case h11.NEED_DATA:
                    caller.http.receive_data(await caller.stream.receive_some(65_536))
                case h11.Request():
                    request = event
                case h11.ConnectionClosed():
                    return False
        headers = {name.decode(): value.decode() for name, value in request.headers}
        target = request.target.decode()
        if request.method == b"POST":
            await self._answer(caller, target, headers)
        else:
            status = 200 if target in ("/report", "/health") and not self.is_leaving else 503
            body = msgspec.json.encode({"stage": "combined", "born": self._born, "queued": 0})
            fields = [*self._fields(), ("Instance-Id", self.id), ("Content-Length", len(body))]
            await self._write(caller, "", status, fields, [body])
        return caller.http.our_state is h11.DONE and caller.http.their_state is h11.DONE

    def _fields(self, request_id: str = "") -> list[tuple[str, Any]]:
        fields = [("Server-Load", f"{self._running},0,{SLOTS}{self._slowness}")]
        if self.is_leaving:
            fields.append(("Server-Leaving", "1"))
        if request_id and not self._draw("omits_ids"):
            fields.append(("Attempt-Id", request_id))
        return fields

    async def _write_again(self, caller: _Caller, answers: list[_Sent], where: str) -> None:
        for sent in answers[-1:]:
            self._journal.note("copy of the answer to", sent.request_id, where, "at", self.id)
            await caller.stream.send_all(sent.data)

    async def _answer(self, caller: _Caller, target: str, headers: dict[str, str]) -> None:
        request_id = headers.get("attempt-id", "")
        own = [sent for sent in caller.sent if sent.is_refusal and sent.request_id == request_id]
        if own and self._draw("copies"):
            await self._write_again(caller, own, "to itself")
        elif caller.sent and self._draw("strays"):
            answers = [sent for sent in caller.sent if sent.request_id != request_id]
            await self._write_again(caller, answers, f"before that to {request_id}")
        fields = [*self._fields(request_id), ("Content-Length", 0)]
        if headers.get("target-instance", self.id) != self.id:
            return await self._write(caller, request_id, 421, fields, [])
        if self._running >= SLOTS or self._draw("refuses"):
            fields.append(("Not-Executed", 1))
            if self._rng.random() < RETRY_AFTER_SHARE:
                fields.append(("Retry-After", f"{self._rng.uniform(0.05, 0.3):.2f}"))
            status = self._rng.choice((503, 429))
            return await self._write(caller, request_id, status, fields, [])
        if self._draw("resets"):
            self._journal.note("reset", request_id, "at", self.id)
            caller.reset_at_close()
            raise trio.BrokenResourceError
        self._running += 1
        try:
            async with trio.open_nursery() as nursery:
                if self._drops_work:
                    nursery.start_soon(_watch, caller, nursery.cancel_scope)
                await self._run(caller, request_id, target, headers)
                nursery.cancel_scope.cancel()
        except* _ENDED:
            raise trio.BrokenResourceError from None
        finally:
            self._running -= 1

    async def _run(
        self, caller: _Caller, request_id: str, target: str, headers: dict[str, str]
    ) -> None:
        rng = self._rng
        if self._draw("queues"):
            await trio.sleep(rng.uniform(0, QUEUED_S))
        run = Run(f"{self.id}.{rng.getrandbits(48):x}", request_id, self.id, target)
        self._journal.add_run(run)
        factor = SLOW_FACTOR if self._draw("slows") else 1
        await trio.sleep(rng.uniform(0, WORK_S * factor))
        run.status = 500 if self._draw("fails") else 200
        fields = [*self._fields(request_id), ("Response-Seal", run.seal)]
        if self._draw("closes"):
            fields.append(("Connection", "close"))
        pause_s = 0.0
        if run.status == 200 and target.startswith(("/ask/", "/chat/")):
            numbers = range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1)
            parts = [f"id: {n}\ndata: {request_id} {run.seal}\n\n".encode() for n in numbers]
            pause_s = EVENT_S * factor
            fields += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        else:
            size = rng.choice((0, rng.randrange(MAX_BODY_BYTES)))
            run.body = f"{run.seal} {request_id} ".encode().ljust(size, b".")
            parts = [run.body[: size // 2], run.body[size // 2 :]]
            framing = (("Transfer-Encoding", "chunked"), ("Content-Length", len(run.body)))
            fields.append(rng.choice(framing))
        loses = self._draw("loses")
        await self._write(caller, request_id, run.status, fields, parts, pause_s, loses)

    async def _write(
        self, caller: _Caller, request_id: str, status: int, fields: list[tuple[str, Any]],
        parts: list[bytes], pause_s: float = 0.0, loses: bool = False,
    ) -> None:  # fmt: skip
        """Write an answer, or break it off anywhere if `loses` is set."""
        headers = [(name, str(value)) for name, value in fields]
        pieces = [caller.http.send(h11.Response(status_code=status, headers=headers, reason="-"))]
        pieces += [caller.http.send(h11.Data(data=part)) for part in parts if part]
        pieces.append(caller.http.send(h11.EndOfMessage()))
        if loses:
            await self._lose(caller, request_id, pieces)
        if not pause_s:
            pieces = [b"".join(pieces)]
        for piece in pieces:
            await caller.stream.send_all(piece)
            await trio.sleep(self._rng.uniform(0, pause_s))
        if request_id:
            is_refusal = status not in (200, 500)
            self._journal.note("refuse" if is_refusal else "end", request_id, status, "at", self.id)
            caller.sent.append(_Sent(request_id, is_refusal, b"".join(pieces)))

    async def _lose(self, caller: _Caller, request_id: str, pieces: list[bytes]) -> None:
        data = b"".join(pieces)
        data = data[: self._rng.choice((0, self._rng.randrange(len(data))))]
        how = self._rng.choice(("reset", "end", "silence"))
        self._journal.note("lose the answer to", request_id, how, "after", len(data), "at", self.id)
        if data:
            await caller.stream.send_all(data)
        await trio.sleep(SILENT_S if how == "silence" else self._rng.uniform(0, WORK_S))
        if how == "reset":
            caller.reset_at_close()
        raise trio.BrokenResourceError


async def _watch(caller: _Caller, scope: trio.CancelScope) -> None:
    """End the work on a request when its connection ends."""
    with suppress(*_ENDED):
        while data := await caller.stream.receive_some(65_536):
            caller.http.receive_data(data)
    scope.cancel()
