"""In-process fakes of endpoints and callers for tests of the filters."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpcore
import msgspec
import trio
from result import Err, Ok

from mulberrycleat.core import PeerError, Step
from mulberrycleat.endpoint import ChoiceSettings
from mulberrycleat.manifest import Endpoint, Manifest, Pool
from mulberrycleat.router.call import Call, View
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.events import read_events
from mulberrycleat.router.filters import DispatchFilter
from mulberrycleat.web import HttpAnswer, Request, StreamedAnswer, peer_error

PROMPT_TOKENS = 10
IN_ORDER = ChoiceSettings(near_share=0.0, near_s=0.0)
MODEL_POOL = Pool(name="p", kind="model", model="m", timeout_s=60.0)
SERVICE_POOL = Pool(name="p", kind="service", idempotent=False, timeout_s=60.0)


@dataclass
class FakeEngine:
    """A model engine with scripted faults.

    Attributes
    ----------
    abort_after, freeze_after : int or None
        Number of tokens after which the stream is aborted or stalls.
    events_at : int or None
        Index of the token in place of which `events` is sent.
    events : bytes
        Raw data sent in place of that token.
    status : int
        HTTP status of the answer.
    unreachable : bool
        Whether connecting fails.
    owner : str or None
        Request id in the answer's header, if it is not that of the request.
    early_done_at : int or None
        Number of tokens after which the stream ends with ``[DONE]``.
    clean_abort : bool
        Whether an aborted stream ends without a transport error.
    media_type : str
        Content type of the answer.
    pieces : tuple of bytes or None
        Body of the answer as it arrives, in place of the stream; None for the stream.
    is_forgetful : bool
        Whether it begins anew where it is asked to go on with the text of another engine.
    has_restarted : bool
        Whether it has forgotten each request by the time at which it is cancelled.
    bodies : list of dict
        Bodies of the requests received.
    cancelled : list of str
        Ids of the cancelled requests.
    generated : int
        Tokens generated for the latest request.
    """

    abort_after: int | None = None
    freeze_after: int | None = None
    events_at: int | None = None
    events: bytes = b""
    status: int = 200
    unreachable: bool = False
    owner: str | None = None
    early_done_at: int | None = None
    clean_abort: bool = False
    media_type: str = "text/event-stream"
    pieces: tuple[bytes, ...] | None = None
    is_forgetful: bool = False
    has_restarted: bool = False
    bodies: list[dict[str, Any]] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    generated: int = 0

    async def chunks(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        self.generated = 0
        if self.pieces is not None:
            for piece in self.pieces:
                await trio.sleep(0.01)
                yield piece
            return
        first, count = body.get("continue_tokens", 0), body["max_tokens"]
        if self.is_forgetful:
            first, count = 0, first + count
        yield event({"choices": [], "usage": usage(0)})
        for sent, index in enumerate(range(first, first + count)):
            await trio.sleep(0.01)
            if sent == self.freeze_after:
                await trio.sleep_forever()
            if sent == self.abort_after:
                if self.clean_abort:
                    return
                raise httpcore.RemoteProtocolError("incomplete chunked read")
            if sent == self.events_at:
                yield self.events
                continue
            if sent == self.early_done_at:
                yield b"data: [DONE]\n\n"
                return
            self.generated += 1
            yield event({"choices": [{"index": 0, "delta": {"content": f"w{index} "}}]})
        end = {"index": 0, "delta": {}, "finish_reason": "length"}
        yield event({"choices": [end], "usage": usage(self.generated)})
        yield b"data: [DONE]\n\n"


@dataclass
class FakeService:
    """A plain service that records bookings by idempotency key.

    Attributes
    ----------
    fault : Exception or None
        Error of the exchange, after the booking is recorded unless it is a ``ConnectError``.
    status : int
        HTTP status of the answer.
    owner : str or None
        Request id in the answer's header, if it is not that of the request.
    retry_after : str
        Value of the header ``retry-after``; if not empty, the service declines the booking.
    bookings : list of str
        Idempotency keys of the recorded bookings.
    targets : list of str
        Paths and queries of all requests.
    """

    fault: Exception | None = None
    status: int = 200
    owner: str | None = None
    retry_after: str = ""
    bookings: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)


class FakeClient:
    """An HTTP client that calls fake endpoints by their address."""

    def __init__(self, endpoints: dict[str, FakeEngine | FakeService]) -> None:
        self._endpoints = endpoints

    @asynccontextmanager
    async def stream(
        self, method: str, url: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> AsyncIterator[StreamedAnswer]:
        engine = self._endpoints[url.split("/")[2]]
        if engine.unreachable:
            raise httpcore.ConnectError("refused")
        engine.bodies.append(msgspec.json.decode(body))
        owner = engine.owner or headers["x-request-id"]
        chunks = engine.chunks(engine.bodies[-1])
        answer = {"x-request-id": owner, "content-type": engine.media_type}
        yield StreamedAnswer(engine.status, answer, chunks)

    async def request(
        self, method: str, url: str, body: bytes, headers: Any, timeout_s: float, step: Step
    ) -> Any:
        service = self._endpoints[url.split("/")[2]]
        assert url.isascii() and all(value.isascii() for value in headers.values())
        service.targets.append(url.split("/", 3)[3])
        if isinstance(service.fault, httpcore.ConnectError):
            return Err(peer_error(service.fault, step, url))
        if service.retry_after:
            return Ok(HttpAnswer(service.status, {"retry-after": service.retry_after}, b""))
        service.bookings.append(headers["idempotency-key"])
        if service.fault:
            return Err(peer_error(service.fault, step, url))
        owner = service.owner or headers["x-request-id"]
        answer = {"content-type": "application/json", "x-request-id": owner}
        return Ok(HttpAnswer(service.status, answer, b'{"booking": 1}'))

    async def send_json(
        self, method: str, url: str, value: Any, timeout_s: float, step: Step
    ) -> Any:
        engine = self._endpoints[url.split("/")[2]]
        if engine.has_restarted:
            return Ok({"known": False})
        if engine.freeze_after is not None:
            return Err(PeerError(step, url, "no answer"))
        engine.cancelled.append(value["request_id"])
        counts = {"prompt_tokens": PROMPT_TOKENS, "cached_tokens": 0}
        return Ok({"known": True, **counts, "generated_tokens": engine.generated + 2})


class FakeCaller:
    """A sink that stores the answer as the caller receives it."""

    def __init__(self) -> None:
        self.status = 0
        self.finished = False
        self.body = b""

    @property
    def started(self) -> bool:
        return self.status != 0

    async def start(self, status: int, headers: Any = ()) -> None:
        assert not self.status, "started twice"
        self.status = status

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self, data: bytes = b"") -> None:
        assert not self.finished, "finished twice"
        self.body += data
        self.finished = True


def event(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def usage(generated: int) -> dict[str, Any]:
    return {"prompt_tokens": PROMPT_TOKENS, "completion_tokens": generated}


def make_call(pool: Pool, count: int = 2, **fields: Any) -> Call:
    endpoints = tuple(
        Endpoint(name=f"e{i}", pool="p", zone="z", address=f"127.0.0.1:{i}")
        for i in range(1, count + 1)
    )
    manifest = Manifest(pools=(pool,), endpoints=endpoints)
    request = fields.pop("request", Request("POST", "/", {}, {}, b"{}", {"path": "permits"}))
    body = {"model": "m", "messages": [], "max_tokens": 6, "stream": True}
    defaults = {"id": "r1", "account": "huts", "stream": True, "idempotent": pool.idempotent}
    defaults |= {"reserve_tokens": 100, "body": body, "sink": FakeCaller(), **fields}
    return Call(request=request, view=View(1, 1, manifest), pool=pool, **defaults)


async def dispatch(call: Call, *endpoints: FakeEngine | FakeService) -> Any:
    by_address = {f"127.0.0.1:{i}": e for i, e in enumerate(endpoints, start=1)}
    dispatch_filter = DispatchFilter(EndpointTable("z", IN_ORDER), FakeClient(by_address))

    async def proceed(call: Call) -> Any:
        raise AssertionError("the last filter has nothing to proceed to")

    return await dispatch_filter.handle(call, proceed)


async def received(caller: FakeCaller) -> list[dict[str, Any] | str]:
    """Return the data of the events that a caller received, decoded from JSON except ``[DONE]``."""

    async def chunks() -> AsyncIterator[bytes]:
        yield caller.body

    found = [one.data async for one in read_events(chunks())]
    return [data.decode() if data == b"[DONE]" else msgspec.json.decode(data) for data in found]


def text_of(events: list[Any]) -> str:
    choices = [c for e in events if isinstance(e, dict) for c in e.get("choices", [])]
    return "".join(choice["delta"].get("content", "") for choice in choices)
