"""The platform's request and answer headers."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from mulberrycleat.core import bounded_id
from mulberrycleat.core.numbers import parse_count, parse_rate, parse_seconds
from mulberrycleat.endpoint.cached_prefixes import MAX_PART_ID_LENGTH, Part
from mulberrycleat.entry.protocol import (
    AnswerFacts,
    EndpointLoad,
    ForwardingFacts,
    RequestFacts,
)
from mulberrycleat.web.upstream import AnswerHead, RawHeaders

__all__ = ["PlatformHeaderCodec"]

REQUEST_ID = b"attempt-id"
REMAINING_TIME_MS = b"timeout-remaining"
AUTHORIZATION = b"authorization"
BEARER_PREFIX = "bearer "
MODEL = b"model"
# Two numbers: prompt tokens, and the maximum number of output tokens.
TOKEN_COUNTS = b"token-counts"
# Despite its name, this header lists all parts of the prompt, including the last one, which is
# not shared with other requests. Each part is given as ID:TOKENS with a hexadecimal id, and commas
# separate the parts.
PROMPT_PARTS = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# REQUEST_ID of the caller's own attempt that brought the first event of the stream.
RESUMES = b"resumes"
ACCOUNT = b"tenant"
ENDPOINT = b"target-instance"
PRIORITY = b"request-priority"
# Signature of the endpoint. Only its presence is checked, not its value.
RESPONSE_SEAL = b"response-seal"
# Present if the endpoint did not run the request; the value is ignored.
NOT_EXECUTED = b"not-executed"
# Numbers, separated by commas: running requests, waiting requests, slots; some servers add how long
# work takes there right now, as a percentage of the usual time. Further numbers are ignored.
SERVER_LOAD = b"server-load"
LOAD_COUNTS = 3
USUAL_SLOWNESS_PERCENT = 100.0
# Requests a second that the server takes from all machines together; absent without a limit.
SERVER_LIMIT = b"server-limit"
# Requests a second that the server can turn away for want of room; it fails if there are more.
# Absent from the answers of a server that is not brittle.
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
# Where a server states what it is and does.
REPORT_PATH = b"/report"
# All answers of a server that leaves have this header.
SERVER_LEAVING = b"server-leaving"
# Status of an answer from another endpoint than ENDPOINT names; the request was not run.
MISDIRECTED_REQUEST = 421
OK = 200
SERVICE_UNAVAILABLE = 503

# Headers that apply to a single connection and are not forwarded. The content-length is set anew
# for each message that is sent.
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
# Headers of a caller that are not forwarded: the API key, and headers that only this system may
# set.
DROPPED_HEADERS = frozenset(
    (
        AUTHORIZATION,
        REMAINING_TIME_MS,
        ACCOUNT,
        ENDPOINT,
        PRIORITY,
        NOT_EXECUTED,
        RESPONSE_SEAL,
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
# Request headers that are forwarded unchanged even if the caller's Connection header names them.
ALWAYS_FORWARDED = frozenset(
    (REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PARTS, b"host", b"length-hint")
)

_PART_PATTERN = re.compile(r"([0-9A-Fa-f]+):(\d{1,9})")


class _Report(msgspec.Struct):
    """What a server states of itself; `born` is its start, as in its entry."""

    born: Annotated[float, msgspec.Meta(gt=0)] | None = None


class PlatformHeaderCodec:
    """Converts between the platform's headers and the project's types."""

    def read_request(self, headers: RawHeaders) -> RequestFacts:
        """Decode a caller's headers; ``fault`` names those that can't be decoded."""
        found = {name: value.decode("latin-1").strip() for name, value in headers}
        faults: list[str] = []
        remaining_ms = _parse_number(found, REMAINING_TIME_MS, faults)
        prompt, output = _parse_token_counts(found, faults)
        key = found.get(AUTHORIZATION, "")
        return RequestFacts(
            request_id=found.get(REQUEST_ID, ""),
            remaining_s=None if remaining_ms is None else remaining_ms / 1000,
            api_key=(
                key[len(BEARER_PREFIX) :].strip() if key.lower().startswith(BEARER_PREFIX) else ""
            ),
            model=found.get(MODEL, ""),
            prompt_tokens=prompt,
            max_output_tokens=output,
            parts=_parse_parts(found.get(PROMPT_PARTS, ""), faults),
            last_event_id=parse_count(found.get(LAST_EVENT_ID, "")),
            resumes=found.get(RESUMES, ""),
            fault="; ".join(faults),
        )

    def request_headers(self, headers: RawHeaders, forwarded: ForwardingFacts) -> RawHeaders:
        """Return the headers for an endpoint: those kept from the caller, and `forwarded`."""
        connection_options = _connection_options(headers)
        kept = [
            (name, value)
            for name, value in headers
            if name not in HOP_BY_HOP
            and name not in DROPPED_HEADERS
            and (name not in connection_options or name in ALWAYS_FORWARDED)
            and not (name == LAST_EVENT_ID and forwarded.last_event_id is not None)
        ]
        remaining_ms = max(1, int(forwarded.remaining_s * 1000))
        kept.append((REMAINING_TIME_MS, b"%d" % remaining_ms))
        kept.append((ENDPOINT, forwarded.endpoint.encode("latin-1")))
        kept.append((PRIORITY, b"%d" % forwarded.priority))
        if forwarded.account:
            kept.append((ACCOUNT, forwarded.account.encode("latin-1")))
        if forwarded.last_event_id is not None:
            kept.append((LAST_EVENT_ID, b"%d" % forwarded.last_event_id))
        return kept

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Decode the head of an endpoint's answer."""
        misdirected = head.status == MISDIRECTED_REQUEST
        retry_after = head.get(RETRY_AFTER) or ""
        is_pause = head.status == SERVICE_UNAVAILABLE and bool(retry_after)
        pause_s = parse_rate(retry_after) if is_pause else None
        return AnswerFacts(
            request_id=head.get(REQUEST_ID) or "",
            signed=head.get(RESPONSE_SEAL) is not None,
            not_run=misdirected or head.get(NOT_EXECUTED) is not None,
            misdirected=misdirected,
            retry_after_s=parse_seconds(retry_after),
            pause_s=pause_s,
            leaving=(head.get(SERVER_LEAVING) or "").strip() == "1",
            fault=_retry_after_fault(retry_after) if is_pause and pause_s is None else "",
            load=_parse_load(head.get(SERVER_LOAD)),
            limit_per_s=parse_rate(head.get(SERVER_LIMIT) or ""),
            rejections_per_s=parse_rate(head.get(SERVER_BRITTLE) or ""),
        )

    def identity_request(self, address: str) -> tuple[bytes, bytes, RawHeaders]:
        """Return method, path and headers with which an endpoint is asked what it is."""
        return b"GET", REPORT_PATH, [(b"host", address.encode("latin-1"))]

    def read_identity(self, head: AnswerHead, body: bytes) -> float | None:
        """Return the start that an endpoint states, in milliseconds; None if it states none."""
        if head.status != OK:
            return None
        try:
            return msgspec.json.decode(body, type=_Report).born
        except (msgspec.DecodeError, RecursionError):
            return None

    def answer_headers(self, head: AnswerHead) -> RawHeaders:
        """Return the headers of an endpoint's answer that are forwarded to the caller."""
        return [
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP and name not in (SERVER_LOAD, NOT_EXECUTED)
        ]

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a refusal that the entry host itself sends."""
        headers: RawHeaders = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def _retry_after_fault(text: str) -> str:
    return f"{RETRY_AFTER.decode()}: {text[:40]!r} is not a number of seconds"


def _parse_number(found: dict[bytes, str], name: bytes, faults: list[str]) -> float | None:
    text = found.get(name)
    if text is None:
        return None
    if not re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text):
        faults.append(f"{name.decode()}: not a number")
        return None
    return float(text)


def _parse_token_counts(found: dict[bytes, str], faults: list[str]) -> tuple[int, int]:
    text = found.get(TOKEN_COUNTS)
    if text is None:
        return 0, 0
    match = re.fullmatch(r"(\d{1,9})\s*,\s*(\d{1,9})", text)
    if match is None:
        faults.append(f"{TOKEN_COUNTS.decode()}: not two counts")
        return 0, 0
    return int(match[1]), int(match[2])


def _parse_parts(text: str, faults: list[str]) -> tuple[Part, ...]:
    parts = []
    for item in text.split(",") if text else ():
        match = _PART_PATTERN.fullmatch(item.strip())
        if match is None:
            faults.append(f"{PROMPT_PARTS.decode()}: {item.strip()[:40]!r} is not ID:TOKENS")
            return ()
        part_id = bounded_id(match[1].lower(), MAX_PART_ID_LENGTH)
        parts.append(Part(part_id, int(match[2])))
    return tuple(parts)


def _connection_options(headers: RawHeaders) -> set[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    return {token.strip().lower() for value in values for token in value.split(b",")}


def _parse_load(text: str | None) -> EndpointLoad | None:
    numbers = (text or "").split(",")
    counts = [parse_count(number) for number in numbers[:LOAD_COUNTS]]
    if len(counts) < LOAD_COUNTS or None in counts:
        return None
    percent = parse_rate(numbers[LOAD_COUNTS]) if len(numbers) > LOAD_COUNTS else None
    return EndpointLoad(*counts, percent / USUAL_SLOWNESS_PERCENT if percent else None)
