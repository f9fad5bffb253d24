"""Filter that parses a request: its pool, limits, deadline and idempotency."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.budget import largest_cost
from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.manifest import Manifest, Pool
from mulberrycleat.router.call import Call, Proceed

__all__ = ["ValidationFilter"]

CHAT_PATH = "/v1/chat/completions"
KEY_HEADER = "idempotency-key"
NON_IDEMPOTENT_HEADER = "non-idempotent"
TIMEOUT_HEADER = "x-timeout-s"
MAX_KEY_CHARS = 200
# Fields of the caller that are not forwarded to an engine.
DROPPED_FIELDS = frozenset(
    ("max_completion_tokens", "n", "best_of", "stream_options", "continue_text", "continue_tokens")
)
# Fields that are no part of the prompt, and `messages`, whose contents are counted separately.
NON_PROMPT_FIELDS = DROPPED_FIELDS | frozenset(
    ("model", "messages", "max_tokens", "stream", "temperature", "top_p", "seed", "stop", "user")
)
_MESSAGE_FIELDS = frozenset(("role", "content"))


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    best_of: int | None = None

    @property
    def token_limit(self) -> int | None:
        """The smaller of the two limits on generated tokens, None if the caller set neither."""
        limits = [n for n in (self.max_tokens, self.max_completion_tokens) if n is not None]
        return min(limits, default=None)


class ValidationFilter:
    """Validate a request and compute the most that it can cost."""

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse a malformed request with 400 and an unknown pool with 404."""
        key = call.request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_CHARS:
            return Err(_bad_request(f"{KEY_HEADER}: longer than {MAX_KEY_CHARS} characters"))
        if not (key.isascii() and key.isprintable()):
            return Err(_bad_request(f"{KEY_HEADER}: only printable ASCII is allowed"))
        keyed = replace(call, idempotency_key=key, digest=_digest(call))
        deadline = _deadline(call)
        if deadline is None:
            return Err(_bad_request(f"{TIMEOUT_HEADER}: must be a number of seconds above 0"))
        is_chat = call.request.path == CHAT_PATH
        read = _read_chat(keyed) if is_chat else _read_service(keyed)
        match read:
            case Ok(admitted) if not admitted.idempotent and not key:
                reason = f"a non-idempotent request needs the header {KEY_HEADER}"
                return Err(_bad_request(reason))
            case Ok(admitted):
                pool_deadline = trio.current_time() + admitted.pool.timeout_s
                return await proceed(replace(admitted, deadline=min(deadline, pool_deadline)))
            case Err(refusal):
                return Err(refusal)


def _read_chat(call: Call) -> Result[Call, NotRun]:
    try:
        chat = msgspec.json.decode(call.request.body, type=_ChatBody)
        body = msgspec.json.decode(call.request.body)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(_bad_request(f"body: {error}"))
    pool = _find_pool(call.view.manifest, "model", chat.model)
    if pool is None:
        return Err(NotRun(Step.ADMIT, "", f"no model {chat.model!r}", 404, None, "unknown_model"))
    if not chat.messages:
        return Err(_bad_request("body: messages: at least one is needed"))
    if chat.token_limit is not None and chat.token_limit < 1:
        return Err(_bad_request("body: max_tokens: must be at least 1"))
    if chat.n not in (None, 1) or chat.best_of not in (None, 1):
        return Err(_bad_request("body: n, best_of: only one answer a request"))
    generated = min(chat.token_limit or pool.max_generated, pool.max_generated)
    text_bytes = sum(len(message.content.encode()) for message in chat.messages)
    text_bytes += _extra_prompt_bytes(body)
    return Ok(
        replace(
            call,
            pool=pool,
            body=_engine_body(body, generated),
            reserve_tokens=largest_cost(pool, text_bytes, len(chat.messages), generated),
            idempotent=_is_idempotent(call, pool),
            stream=chat.stream,
        )
    )


def _read_service(call: Call) -> Result[Call, NotRun]:
    name = call.request.params.get("pool", "")
    pool = _find_pool(call.view.manifest, "service", name)
    if pool is None:
        return Err(NotRun(Step.ADMIT, "", f"no service {name!r}", 404, None, "unknown_service"))
    return Ok(
        replace(
            call,
            pool=pool,
            reserve_tokens=largest_cost(pool, 0, 0, 0),
            idempotent=_is_idempotent(call, pool),
        )
    )


def _engine_body(body: Mapping[str, Any], generated: int) -> Mapping[str, Any]:
    """Return the body to send to an engine: limited to `generated` tokens, and always streamed."""
    forwarded = {name: value for name, value in body.items() if name not in DROPPED_FIELDS}
    return {**forwarded, "max_tokens": generated, "stream": True}


def _extra_prompt_bytes(body: Mapping[str, Any]) -> int:
    """Return the size in bytes of all other fields that may become part of the prompt."""
    fields = {name: value for name, value in body.items() if name not in NON_PROMPT_FIELDS}
    parts = [{k: v for k, v in m.items() if k not in _MESSAGE_FIELDS} for m in body["messages"]]
    return sum(len(msgspec.json.encode(part)) for part in (fields, *parts) if part)


def _find_pool(manifest: Manifest, kind: str, name: str) -> Pool | None:
    for pool in manifest.pools:
        if pool.kind == kind and name == (pool.model if kind == "model" else pool.name):
            return pool
    return None


def _is_idempotent(call: Call, pool: Pool) -> bool:
    marked = call.request.headers.get(NON_IDEMPOTENT_HEADER, "").lower()
    return pool.idempotent and marked not in ("1", "true", "yes")


def _digest(call: Call) -> str:
    request = call.request
    head = msgspec.json.encode([request.path, sorted(request.query.items())])
    return hashlib.sha256(head + request.body).hexdigest()


def _deadline(call: Call) -> float | None:
    """Return the caller's deadline in seconds on trio's clock.

    Returns infinity if the header ``x-timeout-s`` is missing, None if it is malformed.
    """
    header = call.request.headers.get(TIMEOUT_HEADER)
    if header is None:
        return math.inf
    try:
        timeout_s = float(header)
    except ValueError:
        return None
    return trio.current_time() + timeout_s if timeout_s > 0 else None


def _bad_request(reason: str) -> NotRun:
    return NotRun(Step.ADMIT, "", reason, 400, None, "bad_request")
