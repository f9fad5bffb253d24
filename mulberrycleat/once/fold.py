"""Fold of the stream of non-idempotent requests: the first intent for a key wins."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from mulberrycleat.once.model import Abandon, Checkpoint, Intent, KeyEntry, OnceRecord, Outcome
from mulberrycleat.once.timed_key import key_time

__all__ = ["KEY_WINDOW_S", "KeyState", "OnceState"]

KEY_WINDOW_S = 86_400.0
TIMED_KEY_MARGIN_S = 3_600.0
TIMED_KEY_AHEAD_S = 600.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class KeyState:
    """What is known of one key: the winning intent, when it was written, and its outcome.

    Attributes
    ----------
    at : float
        Unix time of the log, in seconds.
    outcome : Outcome or None
        None while the outcome is not known.
    """

    intent: Intent
    at: float = 0.0
    outcome: Outcome | None = None


class OnceState:
    """All keys as of some offset of the stream.

    A key is remembered for `window_s` of the log's time after its winning intent. An intent for a
    key that tells its own time is passed over once that time is nearly as old, so that such a key
    never runs again after it is forgotten. Bodies of answers are kept up to a bound, the newest.

    Parameters
    ----------
    window_s : float
        How long keys are remembered, in seconds.

    Examples
    --------
    >>> state = OnceState()
    >>> state.apply(Intent("i1", "huts:k", "d", "a1"))
    >>> state.apply(Intent("i2", "huts:k", "d", "b1"))
    >>> state.find("huts:k").intent.id
    'i1'
    """

    def __init__(self, window_s: float = KEY_WINDOW_S) -> None:
        self._window_s = window_s
        self._keys: OrderedDict[str, KeyState] = OrderedDict()
        self._seen: OrderedDict[str, float] = OrderedDict()
        self._abandoned: OrderedDict[str, float] = OrderedDict()
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, key: str) -> KeyState | None:
        """Return what is known of `key`."""
        return self._keys.get(key)

    def seen(self, intent_id: str) -> bool:
        """Return whether the stream holds this intent."""
        return intent_id in self._seen

    def is_too_old(self, key: str, at: float) -> bool:
        """Return whether a key tells a time at which it may have been forgotten, or a later one."""
        made = key_time(key)
        if made is None:
            return False
        return not at - self._window_s + TIMED_KEY_MARGIN_S < made < at + TIMED_KEY_AHEAD_S

    def entries(self) -> tuple[KeyEntry, ...]:
        """Return the keys for a checkpoint."""
        return tuple(
            KeyEntry(state.intent, state.at, state.outcome is not None)
            for state in self._keys.values()
        )

    def restore(self, entry: KeyEntry) -> None:
        """Take in a key of a checkpoint; an answer given then is no longer kept."""
        outcome = Outcome(entry.intent.id, entry.intent.key, 0, "", b"", kept=False)
        found = KeyState(entry.intent, entry.at, outcome if entry.done else None)
        self._keys[entry.intent.key] = found
        self._seen[entry.intent.id] = entry.at

    def give_back_answer(self, outcome: Outcome) -> None:
        """Put the body of a restored key's answer back."""
        state = self._keys.get(outcome.key)
        if state and state.intent.id == outcome.id and state.outcome is not None:
            self._keep(state, outcome)

    def apply(self, record: OnceRecord, at: float = 0.0) -> None:
        """Take in the next record of the stream, written at Unix time `at`."""
        self._forget(at - self._window_s)
        match record:
            case Intent() if record.id not in self._seen:
                self._seen[record.id] = at
                if record.id not in self._abandoned and not self.is_too_old(record.key, at):
                    self._keys.setdefault(record.key, KeyState(record, at))
            case Outcome():
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    self._keep(state, record)
            case Abandon():
                self._abandoned[record.id] = at
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    del self._keys[record.key]
            case Checkpoint() | _:
                return

    def _keep(self, state: KeyState, outcome: Outcome) -> None:
        self._keys[outcome.key] = replace(state, outcome=outcome)
        self._answers[outcome.key] = len(outcome.body)
        self._answer_bytes += len(outcome.body)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, key: str) -> None:
        self._answer_bytes -= self._answers.pop(key, 0)
        state = self._keys.get(key)
        if state and state.outcome:
            emptied = Outcome(state.intent.id, key, state.outcome.status, "", b"", kept=False)
            self._keys[key] = replace(state, outcome=emptied)

    def _forget(self, before: float) -> None:
        while self._keys and next(iter(self._keys.values())).at < before:
            key, _ = self._keys.popitem(last=False)
            self._answer_bytes -= self._answers.pop(key, 0)
        for ids in (self._seen, self._abandoned):
            while ids and next(iter(ids.values())) < before:
                ids.popitem(last=False)
