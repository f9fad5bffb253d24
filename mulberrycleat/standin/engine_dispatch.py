"""Requests that an engine runs, has run, or must refuse."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

__all__ = ["Dispatch", "DispatchTable"]

RETENTION_S = 600.0


@dataclass(slots=True)
class Dispatch:
    """One attempt of a request at this engine.

    Attributes
    ----------
    request_id : str
        Value of the header ``x-request-id``.
    holder, fencing_number : str, int
        Holder that reserved the tokens, and the number of the reservation: values of the headers
        ``x-holder`` and ``x-fencing-number``; empty and 0 if not given.
    at : float
        Time of arrival, in seconds on trio's clock.
    budget : str
        Budget that is billed for it; empty if not given.
    priority : int
        From 0, the most urgent, to 9.
    prefilled : bool
        Whether the prompt has been read.
    ended : bool
        Whether token generation has ended, also by cancelling.
    finished : bool
        Whether all tokens were generated.
    scope : trio.CancelScope
        Cancelled by :meth:`DispatchTable.end`.
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


class DispatchTable:
    """Dispatches by request id, and the ids that are refused."""

    def __init__(self) -> None:
        self._dispatches: dict[str, list[Dispatch]] = {}
        self._refused: dict[str, float] = {}
        self._checks: list[Callable[[Dispatch], str | None]] = []

    @property
    def all(self) -> list[Dispatch]:
        """Every dispatch that is kept; ended ones are kept for `RETENTION_S` at least."""
        return [dispatch for dispatches in self._dispatches.values() for dispatch in dispatches]

    @property
    def open(self) -> list[Dispatch]:
        """Dispatches that have not ended."""
        return [dispatch for dispatch in self.all if not dispatch.ended]

    def add_check(self, check: Callable[[Dispatch], str | None]) -> None:
        """Add a check of new dispatches; it returns the reason to refuse one, or None."""
        self._checks.append(check)

    def start(self, dispatch: Dispatch) -> Result[Dispatch, str]:
        """Register a dispatch, or return the reason why it is refused."""
        self._remove_expired()
        if dispatch.request_id in self._refused:
            return Err("the request was cancelled")
        for check in self._checks:
            if reason := check(dispatch):
                return Err(reason)
        self._dispatches.setdefault(dispatch.request_id, []).append(dispatch)
        return Ok(dispatch)

    def end(self, dispatch: Dispatch) -> None:
        """End a dispatch; it generates no more tokens."""
        dispatch.ended = True
        dispatch.scope.cancel()

    def cancel(self, request_id: str) -> list[Dispatch]:
        """End every dispatch of a request id, refuse later ones, and return the dispatches."""
        self._refused[request_id] = trio.current_time()
        dispatches = self._dispatches.get(request_id, [])
        for dispatch in dispatches:
            self.end(dispatch)
        return dispatches

    def _remove_expired(self) -> None:
        before = trio.current_time() - RETENTION_S
        while self._refused and next(iter(self._refused.values())) < before:
            del self._refused[next(iter(self._refused))]
        while self._dispatches:
            request_id, dispatches = next(iter(self._dispatches.items()))
            if dispatches[-1].at >= before or not dispatches[-1].ended:
                return
            del self._dispatches[request_id]
