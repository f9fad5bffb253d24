"""What callers and endpoints of a soak have seen, and the promises that it must keep."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

EVENTS = 6
PROMISES_NOT_RUN = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class Kind(NamedTuple):
    """A kind of request, with the path of its route."""

    path: str
    runs_once: bool
    streams: bool


KINDS = (
    *(Kind("/book/x", True, False), Kind("/find/x", False, False)),
    *(Kind("/ask/x", False, True), Kind("/chat/x", True, True)),
)


@dataclass
class Run:
    """A request that an endpoint began to work on, with the answer that it makes."""

    seal: str
    request_id: str
    endpoint: str
    target: str
    status: int = 200
    body: bytes = b""


@dataclass
class Attempt:
    """A request as its caller saw it; `unasked` are bytes that came after the whole answer."""

    request_id: str
    kind: Kind
    first_event: int
    status: int = 0
    seal: str = ""
    body: bytes = b""
    is_complete: bool = False
    unasked: bytes = b""
    retry_after_s: float = 0.0

    @property
    def events(self) -> list[tuple[int, str, str]]:
        """Number, request id and seal of each whole event."""
        found = _EVENT.findall(self.body)
        return [(int(number), name.decode(), seal.decode()) for number, name, seal in found]


@dataclass
class Journal:
    """All attempts and runs, and lines of what was done, with the seconds since the start."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: dict[str, Run] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=trio.current_time)

    def note(self, *words: object) -> None:
        at = f"{trio.current_time() - self.started_at:8.3f}"
        self.lines.append(" ".join([at, *map(str, words)]))

    def add_run(self, run: Run) -> None:
        self.runs[run.seal] = run
        self.note("run", run.request_id, "at", run.endpoint, "seal", run.seal)


def broken_promises(journal: Journal) -> list[str]:
    """Return one line for each promise that was broken."""
    counts = Counter(run.request_id for run in journal.runs.values())
    found: list[str] = []
    for attempt in journal.attempts:
        name, ran = f"{attempt.request_id} {attempt.kind.path}", counts[attempt.request_id]
        if attempt.kind.runs_once and ran > 1:
            found.append(f"{name}: ran {ran} times")
        if attempt.status in PROMISES_NOT_RUN and ran:
            found.append(f"{name}: answered {attempt.status}, and ran")
        found += [f"{name}: {fault}" for fault in _faults_of_answer(attempt, journal)]
    asked = {attempt.request_id: attempt.kind for attempt in journal.attempts}
    for run in journal.runs.values():
        if run.request_id not in asked or asked[run.request_id].path != run.target:
            found.append(f"{run.request_id} {run.target}: ran, and no caller sent it")
    return found


def _faults_of_answer(attempt: Attempt, journal: Journal) -> Iterator[str]:
    if attempt.unasked.startswith(b"HTTP/1.1 2"):
        yield "a success came with no request waiting"
    run = journal.runs.get(attempt.seal)
    if attempt.seal and (run is None or run.request_id != attempt.request_id):
        yield f"the answer is of another request ({attempt.seal})"
    elif run is not None and attempt.status != run.status:
        yield f"answered {attempt.status}, where the endpoint answered {run.status}"
    elif 200 <= attempt.status < 300 and run is None:
        yield "a success without a seal"
    elif 200 <= attempt.status < 300 and attempt.kind.streams:
        yield from _faults_of_stream(attempt, run)
    elif run is not None and not run.body.startswith(attempt.body):
        yield "the body is not that of the endpoint's answer"
    elif run is not None and attempt.is_complete and run.body != attempt.body:
        yield "the answer looks complete, but is not"


def _faults_of_stream(attempt: Attempt, run: Run) -> Iterator[str]:
    events = attempt.events
    numbers = [number for number, _, _ in events]
    expected = list(range(attempt.first_event, attempt.first_event + len(events)))
    if numbers != expected:
        yield f"events {numbers}, where {expected} were due"
    if any(request_id != attempt.request_id for _, request_id, _ in events):
        yield "events of another request"
    if attempt.kind.runs_once and any(seal != run.seal for _, _, seal in events):
        yield "events of two runs in a stream that can't be resumed"
    rest = _EVENT.sub(b"", attempt.body)
    if b"\n\n" in rest or (rest and events and not attempt.body.endswith(rest)):
        yield f"a piece that is no event: {rest[:40]!r}"
    if attempt.is_complete and (rest or not numbers or numbers[-1] != EVENTS):
        yield f"the stream looks complete after events {numbers} and {rest[:40]!r}"
