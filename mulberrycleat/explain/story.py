"""Joining of log lines by request, with what the hosts knew of their surroundings then."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

__all__ = ["Line", "Story", "read_lines", "tell"]

# Lines without a request that change what a host believes; the last of each before the request's
# end belongs to its story.
STATE_KINDS = frozenset(
    (
        "started",
        "stopping",
        "store lost",
        "store regained",
        "ledger lost",
        "ledger regained",
        "route map taken",
        "route map unreadable",
        "directory not read",
        "settings read again",
        "settings unreadable",
    )
)
ENDPOINT_KIND = "endpoint changed"
# Fields that are shown before the others, or not at all.
FIRST_FIELDS = ("host", "endpoint", "code", "status", "why")
HIDDEN_FIELDS = frozenset(("level", "logger", "message", "timestamp", "zone", "request"))


class Line(NamedTuple):
    """One line of a log: its time (Unix seconds), its message, and its fields."""

    at: float
    message: str
    fields: dict[str, Any]

    @property
    def host(self) -> str:
        """Host that wrote the line."""
        return str(self.fields.get("host", ""))

    def __str__(self) -> str:
        names = [name for name in FIRST_FIELDS if name in self.fields]
        names += [n for n in self.fields if n not in FIRST_FIELDS and n not in HIDDEN_FIELDS]
        shown = (f"{n}={self.fields[n]}" for n in names if self.fields[n] not in ("", None))
        return f"{self.message}: {' '.join(shown)}"


class Story(NamedTuple):
    """What is known of one request.

    Attributes
    ----------
    lines : tuple of Line
        Lines that name the request, in order of time.
    surroundings : tuple of Line
        For each host that handled it, the last change of each kind before its end.
    cause : str
        One sentence.
    """

    request: str
    lines: tuple[Line, ...]
    surroundings: tuple[Line, ...]
    cause: str

    def __str__(self) -> str:
        start = self.lines[0].at if self.lines else 0.0
        parts = [f"request {self.request}: {self.cause}"]
        parts += [f"{line.at - start:+9.3f} s  {line}" for line in self.lines]
        if self.surroundings:
            parts.append("what the hosts knew:")
            parts += [f"{line.at - start:+9.3f} s  {line}" for line in self.surroundings]
        return "\n".join(parts)


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON lines among `text`; a prefix before the JSON object is left out.

    >>> one = '12.1 a1 {"message": "served", "timestamp": "2026-01-01T00:00:00+00:00"}'
    >>> [line.message for line in read_lines([one, "Traceback ..."])]
    ['served']
    """
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
            at = datetime.fromisoformat(fields["timestamp"]).timestamp()
        except (ValueError, KeyError, TypeError):
            continue
        yield Line(at, str(fields.get("message", "")), fields)


def tell(request: str, lines: Iterable[Line]) -> Story:
    """Return the story of a request."""
    found = sorted(lines, key=lambda line: line.at)
    own = tuple(line for line in found if line.fields.get("request") == request)
    if not own:
        return Story(request, (), (), "no line names it")
    hosts = {line.host for line in own}
    endpoints = {line.fields.get("endpoint") for line in own}
    latest: dict[tuple[str, str, str], Line] = {}
    for line in found:
        if line.at > own[-1].at or line.host not in hosts:
            continue
        endpoint = str(line.fields.get("endpoint", ""))
        about = endpoint if line.message == ENDPOINT_KIND and endpoint in endpoints else ""
        if line.message in STATE_KINDS or about:
            latest[line.host, line.message, about] = line
    surroundings = tuple(sorted(latest.values(), key=lambda line: line.at))
    return Story(request, own, surroundings, _cause(own))


def _cause(lines: tuple[Line, ...]) -> str:
    last = lines[-1]
    fields = last.fields
    match last.message:
        case "served":
            return f"served by {fields.get('endpoint')} after {fields.get('took_s')} s"
        case "caller gone":
            return f"the caller left after {fields.get('took_s')} s"
        case "refused":
            how = "broken off" if fields.get("broken_off") else f"answered {fields.get('status')}"
            ran = "was not run" if fields.get("ran") == "not_run" else "may have run"
            return f"{how} ({fields.get('code')}: {fields.get('why')}); it {ran}"
    return f"the last line is '{last.message}': the process may have ended"
