"""Client of the routers, over the simulated network or over sockets."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from mulberrycleat.core import Step
from mulberrycleat.web import HTTPCORE_ERRORS, BaseHttpClient, peer_error

__all__ = ["Answer", "Caller"]

TIMEOUT_S = 60.0
_DONE = "[DONE]"


class Answer(NamedTuple):
    """Answer to a caller's request, as far as it was received.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no answer was received.
    headers : mapping
        Header values by lower-case name.
    body : bytes
        The part of the body that was received.
    broken : str
        Reason why the answer is incomplete; empty if it is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    broken: str = ""

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of events."""
        return self.headers.get("content-type", "").startswith("text/event-stream")

    @property
    def outcome(self) -> str:
        """``served``, ``not_run``, ``may_have_run``, or ``broken`` when the outcome is unknown."""
        if self.broken:
            return "broken"
        if self.is_stream:
            return (
                "served" if self.events[-1:] == [_DONE] else self.problem.get("outcome", "broken")
            )
        return "served" if self.status < 400 else self.problem.get("outcome", "broken")

    @property
    def events(self) -> list[str]:
        """Data field of each event of a stream."""
        parts = self.body.decode().split("\n\n")
        return [part.partition("data: ")[2] for part in parts if "data: " in part]

    @property
    def problem(self) -> dict[str, Any]:
        """JSON object of the last event or the body, such as a problem; empty if there is none."""
        text = self.events[-1] if self.is_stream and self.events else self.body
        try:
            found = msgspec.json.decode(text)
        except msgspec.DecodeError:
            return {}
        return found if isinstance(found, dict) else {}

    @property
    def text(self) -> str:
        """The text that a model generated, or the body of another answer."""
        if self.is_stream:
            return "".join(_event_text(event) for event in self.events if event != _DONE)
        if self.status == 200 and "choices" in self.problem:
            return self.problem["choices"][0]["message"]["content"]
        return self.body.decode()


class Caller:
    """Sends requests with one API key.

    Parameters
    ----------
    http : BaseHttpClient
        Client that sends the requests to the routers.
    key : str
        API key of the caller.
    """

    def __init__(self, http: BaseHttpClient, key: str) -> None:
        self._http = http
        self._key = key

    async def chat(
        self,
        address: str,
        model: str,
        text: str,
        max_tokens: int = 16,
        stream: bool = True,
        **headers: str,
    ) -> Answer:
        """Request a chat completion from the router at `address`; `headers` as in :meth:`post`."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self.post(address, "/v1/chat/completions", body, **headers)

    async def book(
        self, address: str, pool: str, path: str, idempotency_key: str, body: Any = None
    ) -> Answer:
        """Send a request for `path` of a plain service to the router at `address`."""
        target = f"/v1/services/{pool}/{path}"
        return await self.post(address, target, body or {}, idempotency_key=idempotency_key)

    async def post(self, address: str, path: str, body: Any, **headers: str) -> Answer:
        """Send a request and read its answer; a failure is described in the answer's `broken`.

        Underscores in the names of `headers` become hyphens.
        """
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
            **extra_headers,
        }
        url = f"http://{address}{path}"
        status, found, chunks = 0, {}, []
        try:
            async with self._http.stream(
                "POST", url, msgspec.json.encode(body), sent, TIMEOUT_S
            ) as answer:
                status, found = answer.status, answer.headers
                async for chunk in answer.chunks:
                    chunks.append(chunk)
        except HTTPCORE_ERRORS as error:
            reason = str(peer_error(error, Step.CALL, url))
            return Answer(status, found, b"".join(chunks), reason)
        return Answer(status, found, b"".join(chunks))


def _event_text(event: str) -> str:
    try:
        chunk = msgspec.json.decode(event)
    except msgspec.DecodeError:
        return ""
    choices = chunk.get("choices") if isinstance(chunk, dict) else None
    return choices[0].get("delta", {}).get("content", "") if choices else ""
