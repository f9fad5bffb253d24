"""Fold of the log stream of non-idempotent requests: the first intent for a key wins."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from mulberrycleat.once.model import (
    Abandon,
    Answer,
    Checkpoint,
    Intent,
    KeyEntry,
    OnceRecord,
    Outcome,
)
from mulberrycleat.once.timed_key import key_time

__all__ = ["KEY_WINDOW_S", "KeyState", "OnceState"]

KEY_WINDOW_S = 86_400.0
TIMED_KEY_MARGIN_S = 3_600.0
TIMED_KEY_MAX_SKEW_S = 600.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class KeyState:
    """State of one idempotency key: the winning intent, when it was written, and its outcome.

    Attributes
    ----------
    at : float
        Unix time at which the log wrote the intent, in seconds.
    outcome : Outcome or None
        None while the outcome is unknown.
    """

    intent: Intent
    at: float = 0.0
    outcome: Outcome | None = None


class OnceState:
    """State of all keys after folding the records of the stream up to some offset.

    A key is retained for `window_s` seconds after its winning intent, measured on the log's clock.
    An intent whose key contains a creation time is ignored once that time is nearly `window_s`
    seconds ago, so that no second intent can win for the key after its eviction. The newest answer
    bodies are kept, up to ``MAX_ANSWER_BYTES`` in total.

    Parameters
    ----------
    window_s : float
        How long keys are retained, in seconds.

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
        """Return the state of `key`, or None when the key is unknown."""
        return self._keys.get(key)

    def seen(self, intent_id: str) -> bool:
        """Return whether the intent was read from the stream within the window."""
        return intent_id in self._seen

    def has_invalid_time(self, key: str, at: float) -> bool:
        """Return whether the creation time in `key` lies outside the accepted range at time `at`.

        The range starts ``TIMED_KEY_MARGIN_S`` seconds after the earliest creation time that is
        still within the window, because an older key may already have been evicted, and ends
        ``TIMED_KEY_MAX_SKEW_S`` seconds after `at`. Keys without a creation time are always
        accepted.
        """
        created_at = key_time(key)
        if created_at is None:
            return False
        return not at - self._window_s + TIMED_KEY_MARGIN_S < created_at < at + TIMED_KEY_MAX_SKEW_S

    def entries(self) -> tuple[KeyEntry, ...]:
        """Return an entry for a checkpoint for each key."""
        return tuple(
            KeyEntry(state.intent, state.at, state.outcome is not None)
            for state in self._keys.values()
        )

    def restore(self, entry: KeyEntry) -> None:
        """Add a key from a checkpoint; checkpoints do not contain the answer bodies."""
        outcome = Outcome(entry.intent.id, entry.intent.key, 0, "", b"", kept=False)
        found = KeyState(entry.intent, entry.at, outcome if entry.done else None)
        self._keys[entry.intent.key] = found
        self._seen[entry.intent.id] = entry.at

    def restore_answer(self, record: Outcome | Answer) -> None:
        """Restore the answer body of a key that was restored from a checkpoint."""
        state = self._keys.get(record.key)
        if state and state.intent.id == record.id and state.outcome is not None:
            content_type, body = record.content_type, record.body
            kept = getattr(record, "kept", True)
            outcome = Outcome(record.id, record.key, record.status, content_type, body, kept)
            self._set_outcome(state, outcome)

    def apply(self, record: OnceRecord, at: float = 0.0) -> None:
        """Apply the next record of the stream, written at Unix time `at` (in seconds)."""
        self._evict_expired(at - self._window_s)
        match record:
            case Intent() if record.id not in self._seen:
                self._seen[record.id] = at
                if record.id not in self._abandoned and not self.has_invalid_time(record.key, at):
                    self._keys.setdefault(record.key, KeyState(record, at))
            case Outcome():
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    self._set_outcome(state, record)
            case Answer() if record.id not in self._seen:
                self._apply_answer(record, at)
            case Abandon():
                self._abandoned[record.id] = at
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    del self._keys[record.key]
            case Checkpoint() | _:
                return

    def _apply_answer(self, answer: Answer, at: float) -> None:
        self._seen[answer.id] = at
        if answer.key in self._keys or self.has_invalid_time(answer.key, at):
            return
        intent = Intent(answer.id, answer.key, answer.digest, answer.holder)
        content_type = answer.content_type
        outcome = Outcome(answer.id, answer.key, answer.status, content_type, answer.body)
        self._set_outcome(KeyState(intent, at), outcome)

    def _set_outcome(self, state: KeyState, outcome: Outcome) -> None:
        self._keys[outcome.key] = replace(state, outcome=outcome)
        self._answers[outcome.key] = len(outcome.body)
        self._answer_bytes += len(outcome.body)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            self._evict_answer(next(iter(self._answers)))

    def _evict_answer(self, key: str) -> None:
        self._answer_bytes -= self._answers.pop(key, 0)
        state = self._keys.get(key)
        if state and state.outcome:
            without_body = Outcome(state.intent.id, key, state.outcome.status, "", b"", kept=False)
            self._keys[key] = replace(state, outcome=without_body)

    def _evict_expired(self, before: float) -> None:
        while self._keys and next(iter(self._keys.values())).at < before:
            key, _ = self._keys.popitem(last=False)
            self._answer_bytes -= self._answers.pop(key, 0)
        for expiring in (self._seen, self._abandoned):
            while expiring and next(iter(expiring.values())) < before:
                expiring.popitem(last=False)
