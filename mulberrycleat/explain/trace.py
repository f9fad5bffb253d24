"""Collect the log lines of one request, with the state changes of its hosts before its end."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

__all__ = ["LogRecord", "RequestTrace", "explain_request", "read_lines"]

# Messages of lines that name no request and record a change of a host's state. For each host, the
# last line with each message up to the last line of the request is included.
STATE_CHANGE_MESSAGES = frozenset(
    (
        "started",
        "stopping",
        "store lost",
        "store regained",
        "path lost",
        "path regained",
        "ledger lost",
        "ledger regained",
        "route map taken",
        "route map unreadable",
        "evacuation kept",
        "evacuation in force",
        "evacuation ended",
        "directory not read",
        "settings read again",
        "settings unreadable",
    )
)
# Lines with this message are included only for endpoints that lines of the request name.
ENDPOINT_CHANGE_MESSAGE = "endpoint changed"
# Fields that are printed before the others, and fields that are not printed.
FIRST_FIELDS = ("host", "endpoint", "code", "status", "why")
HIDDEN_FIELDS = frozenset(("level", "logger", "message", "timestamp", "zone", "request"))


class LogRecord(NamedTuple):
    """One log line: its time (Unix seconds), its message, and its fields."""

    at: float
    message: str
    fields: dict[str, Any]

    @property
    def host(self) -> str:
        """Host that wrote the line, or an empty string."""
        return str(self.fields.get("host", ""))

    def __str__(self) -> str:
        names = [name for name in FIRST_FIELDS if name in self.fields]
        names += [n for n in self.fields if n not in FIRST_FIELDS and n not in HIDDEN_FIELDS]
        shown = (f"{n}={self.fields[n]}" for n in names if self.fields[n] not in ("", None))
        return f"{self.message}: {' '.join(shown)}"


class RequestTrace(NamedTuple):
    """What the logs show of one request.

    Attributes
    ----------
    request : str
        Id of the request.
    lines : tuple of LogRecord
        Lines that name the request, ordered by time.
    host_state : tuple of LogRecord
        For each host that wrote one of `lines`, the last state change of each kind up to the last
        of `lines`, ordered by time.
    cause : str
        A phrase that states how the request ended, or that this is unknown.
    """

    request: str
    lines: tuple[LogRecord, ...]
    host_state: tuple[LogRecord, ...]
    cause: str

    def __str__(self) -> str:
        start = self.lines[0].at if self.lines else 0.0
        parts = [f"request {self.request}: {self.cause}"]
        parts += [f"{line.at - start:+9.3f} s  {line}" for line in self.lines]
        if self.host_state:
            parts.append("state of the hosts before the end:")
            parts += [f"{line.at - start:+9.3f} s  {line}" for line in self.host_state]
        return "\n".join(parts)


def read_lines(text: Iterable[str]) -> Iterator[LogRecord]:
    """Yield the lines of `text` that contain a JSON log record, and skip all others.

    Text before the JSON object is ignored.

    >>> one = '12.1 a1 {"message": "served", "timestamp": "2026-01-01T00:00:00+00:00"}'
    >>> [line.message for line in read_lines([one, "Traceback ..."])]
    ['served']
    """
    for text_line in text:
        start = text_line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text_line[start:])
            at = datetime.fromisoformat(fields["timestamp"]).timestamp()
        except (ValueError, KeyError, TypeError):
            continue
        yield LogRecord(at, str(fields.get("message", "")), fields)


def explain_request(request: str, lines: Iterable[LogRecord]) -> RequestTrace:
    """Return what `lines` show of the request with the id `request`."""
    found = sorted(lines, key=lambda line: line.at)
    request_lines = tuple(line for line in found if line.fields.get("request") == request)
    if not request_lines:
        return RequestTrace(request, (), (), "no line names it")
    hosts = {line.host for line in request_lines}
    endpoints = {line.fields.get("endpoint") for line in request_lines}
    latest: dict[tuple[str, str, str], LogRecord] = {}
    for line in found:
        if line.at > request_lines[-1].at or line.host not in hosts:
            continue
        endpoint = str(line.fields.get("endpoint", ""))
        changed_endpoint = (
            endpoint if line.message == ENDPOINT_CHANGE_MESSAGE and endpoint in endpoints else ""
        )
        if line.message in STATE_CHANGE_MESSAGES or changed_endpoint:
            latest[line.host, line.message, changed_endpoint] = line
    host_state = tuple(sorted(latest.values(), key=lambda line: line.at))
    return RequestTrace(request, request_lines, host_state, _describe_end(request_lines))


def _describe_end(lines: tuple[LogRecord, ...]) -> str:
    last = lines[-1]
    fields = last.fields
    match last.message:
        case "served":
            return f"served by {fields.get('endpoint')} after {fields.get('took_s')} s"
        case "caller gone":
            return f"the caller left after {fields.get('took_s')} s"
        case "refused":
            ending = (
                "broken off" if fields.get("broken_off") else f"answered {fields.get('status')}"
            )
            ran = "was not run" if fields.get("ran") == "not_run" else "may have run"
            return f"{ending} ({fields.get('code')}: {fields.get('why')}); it {ran}"
    return f"the last line is '{last.message}': the process may have ended"
