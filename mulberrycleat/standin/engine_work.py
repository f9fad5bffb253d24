"""Requests that an engine runs, has run, or must not run any more."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

__all__ = ["Work", "WorkTable"]

REMEMBERED_S = 600.0


@dataclass(slots=True)
class Work:
    """One dispatch.

    Attributes
    ----------
    request_id : str
        As the header ``x-request-id`` gave it.
    holder, fencing_number : str, int
        Who sent it, and the number of its reservation; empty and 0 when not given.
    budget : str
        Budget that pays for it; empty when not given.
    scope : trio.CancelScope
        Cancelled when the work is ended from outside.
    """

    request_id: str
    holder: str
    fencing_number: int
    at: float
    budget: str = ""
    priority: int = 5
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    max_tokens: int = 0
    prefilled: bool = False
    ended: bool = False
    finished: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class WorkTable:
    """Dispatches by request id, and the ids that are refused."""

    def __init__(self) -> None:
        self._works: dict[str, list[Work]] = {}
        self._refused: dict[str, float] = {}
        self._checks: list[Callable[[Work], str | None]] = []

    @property
    def all(self) -> list[Work]:
        """Every remembered dispatch."""
        return [work for works in self._works.values() for work in works]

    @property
    def open(self) -> list[Work]:
        """Dispatches that have not ended."""
        return [work for work in self.all if not work.ended]

    def add_check(self, check: Callable[[Work], str | None]) -> None:
        """Add a check of new dispatches; it returns why one is refused, or None."""
        self._checks.append(check)

    def start(self, work: Work) -> Result[Work, str]:
        """Take in a dispatch, or say why it is refused."""
        self._forget()
        if work.request_id in self._refused:
            return Err("the request was cancelled")
        for check in self._checks:
            if reason := check(work):
                return Err(reason)
        self._works.setdefault(work.request_id, []).append(work)
        return Ok(work)

    def end(self, work: Work) -> None:
        """Let a dispatch generate nothing more."""
        work.ended = True
        work.scope.cancel()

    def cancel(self, request_id: str) -> list[Work]:
        """End every dispatch of an id, refuse later ones, and return those that there were."""
        self._refused[request_id] = trio.current_time()
        works = self._works.get(request_id, [])
        for work in works:
            self.end(work)
        return works

    def _forget(self) -> None:
        before = trio.current_time() - REMEMBERED_S
        while self._refused and next(iter(self._refused.values())) < before:
            del self._refused[next(iter(self._refused))]
        while self._works:
            request_id, works = next(iter(self._works.items()))
            if works[-1].at >= before or not works[-1].ended:
                return
            del self._works[request_id]
