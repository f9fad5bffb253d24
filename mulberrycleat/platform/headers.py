"""Request and answer headers of the platform."""

from __future__ import annotations

import re

from mulberrycleat.endpoint.placer import Part
from mulberrycleat.entry.protocol import (
    AnswerFacts,
    EndpointLoad,
    Forwarded,
    RequestFacts,
)
from mulberrycleat.web.upstream import AnswerHead, RawHeaders

__all__ = ["PlatformHeaderCodec"]

REQUEST_ID = b"attempt-id"
TIME_LEFT_MS = b"timeout-remaining"
KEY = b"authorization"
KEY_SCHEME = "bearer "
MODEL = b"model"
# Two numbers: tokens of the prompt, and the most output tokens.
TOKENS = b"token-counts"
# Despite the name, all parts of the prompt, the unshared last one too.
PARTS = b"prompt-prefix"
LAST_EVENT = b"last-event-id"
ACCOUNT = b"tenant"
ENDPOINT = b"target-instance"
PRIORITY = b"request-priority"
SEAL = b"response-seal"
NOT_RUN = b"not-executed"
LOAD = b"server-load"
RETRY_AFTER = b"retry-after"
MISDIRECTED = 421

# Headers that concern one connection only.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# Headers that only this system may set on a request.
OWN = frozenset(
    (
        KEY,
        TIME_LEFT_MS,
        ACCOUNT,
        ENDPOINT,
        PRIORITY,
        NOT_RUN,
        SEAL,
        b"expected-version",
        b"hold",
        b"pin-duration",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
        b"instance-id",
    )
)
# Whatever the caller sent under these names goes on unchanged, also if named in Connection.
KEPT = frozenset((REQUEST_ID, MODEL, TOKENS, PARTS, b"host", b"length-hint"))

_PART = re.compile(r"([0-9A-Fa-f]+):(\d{1,9})")


class PlatformHeaderCodec:
    """The platform's headers, decoded into the project's types and back."""

    def read_request(self, headers: RawHeaders) -> RequestFacts:
        """Read a caller's headers; what can't be read is named in ``fault``."""
        found = {name: value.decode("latin-1").strip() for name, value in headers}
        faults: list[str] = []
        time_left_ms = _number(found, TIME_LEFT_MS, faults)
        prompt, output = _token_counts(found, faults)
        last_event = found.get(LAST_EVENT, "")
        key = found.get(KEY, "")
        return RequestFacts(
            request_id=found.get(REQUEST_ID, ""),
            time_left_s=None if time_left_ms is None else time_left_ms / 1000,
            api_key=key[len(KEY_SCHEME) :].strip() if key.lower().startswith(KEY_SCHEME) else "",
            model=found.get(MODEL, ""),
            prompt_tokens=prompt,
            max_output_tokens=output,
            parts=_parts(found.get(PARTS, ""), faults),
            last_event_id=int(last_event) if last_event.isdigit() else None,
            fault="; ".join(faults),
        )

    def request_headers(self, headers: RawHeaders, forwarded: Forwarded) -> RawHeaders:
        """Return the headers for an endpoint."""
        dropped = _named_in_connection(headers)
        kept = [
            (name, value)
            for name, value in headers
            if name not in HOP_BY_HOP
            and name not in OWN
            and (name not in dropped or name in KEPT)
            and not (name == LAST_EVENT and forwarded.last_event_id is not None)
        ]
        left_ms = max(1, int(forwarded.time_left_s * 1000))
        kept.append((TIME_LEFT_MS, b"%d" % left_ms))
        kept.append((ENDPOINT, forwarded.endpoint.encode("latin-1")))
        kept.append((PRIORITY, b"%d" % forwarded.priority))
        if forwarded.account:
            kept.append((ACCOUNT, forwarded.account.encode("latin-1")))
        if forwarded.last_event_id is not None:
            kept.append((LAST_EVENT, b"%d" % forwarded.last_event_id))
        return kept

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Read the head of an endpoint's answer."""
        misdirected = head.status == MISDIRECTED
        return AnswerFacts(
            request_id=head.get(REQUEST_ID) or "",
            sealed=head.get(SEAL) is not None,
            not_run=misdirected or head.get(NOT_RUN) is not None,
            other_endpoint=misdirected,
            retry_after_s=_seconds(head.get(RETRY_AFTER)),
            load=_load(head.get(LOAD)),
            leaving=(head.get(b"connection") or "").lower() == "close",
        )

    def answer_headers(self, head: AnswerHead) -> RawHeaders:
        """Return the headers for the caller."""
        return [
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP and name not in (LOAD, NOT_RUN)
        ]

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer of this system's own."""
        headers: RawHeaders = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def _number(found: dict[bytes, str], name: bytes, faults: list[str]) -> float | None:
    text = found.get(name)
    if text is None:
        return None
    if not re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text):
        faults.append(f"{name.decode()}: not a number")
        return None
    return float(text)


def _token_counts(found: dict[bytes, str], faults: list[str]) -> tuple[int, int]:
    text = found.get(TOKENS)
    if text is None:
        return 0, 0
    match = re.fullmatch(r"(\d{1,9})\s*,\s*(\d{1,9})", text)
    if match is None:
        faults.append(f"{TOKENS.decode()}: not two counts")
        return 0, 0
    return int(match[1]), int(match[2])


def _parts(text: str, faults: list[str]) -> tuple[Part, ...]:
    parts = []
    for item in text.split(",") if text else ():
        match = _PART.fullmatch(item.strip())
        if match is None:
            faults.append(f"{PARTS.decode()}: {item.strip()[:40]!r} is not ID:TOKENS")
            return ()
        parts.append(Part(match[1].lower(), int(match[2])))
    return tuple(parts)


def _named_in_connection(headers: RawHeaders) -> set[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    return {token.strip().lower() for value in values for token in value.split(b",")}


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None


def _load(text: str | None) -> EndpointLoad | None:
    numbers = (text or "").split(",")
    if len(numbers) != 3 or not all(number.strip().isdigit() for number in numbers):
        return None
    return EndpointLoad(*(int(number) for number in numbers))
