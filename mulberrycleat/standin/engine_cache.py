"""An engine's prefix cache and its events, which are published late and with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Any, NamedTuple

import trio

from mulberrycleat.standin.settings import StandinSettings

__all__ = ["BLOCK_TOKENS", "PrefixCache"]

BLOCK_TOKENS = 64
MAX_EVENTS = 2000


class _CacheEvent(NamedTuple):
    at: float
    seq: int
    kind: str
    keys: tuple[int, ...]


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    settings : StandinSettings
        Size in tokens; lag and gaps of the events.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[_CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._next_seq = 0

    def look_up(self, keys: tuple[int, ...]) -> int:
        """Return the number of cached tokens at the prompt's start, and cache the whole prompt.

        `keys` has a key for each complete block of `BLOCK_TOKENS` tokens of the prompt, in order.
        """
        found = 0
        while found < len(keys) and keys[found] in self._blocks:
            found += 1
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        self._publish("stored", keys[found:])
        self._evict()
        return found * BLOCK_TOKENS

    def events(self, first: int) -> dict[str, Any]:
        """Return the events from sequence number `first` on that are old enough to be visible.

        Every `cache_event_gap`-th event is left out; `next` is the sequence number to request next.
        """
        visible_until = trio.current_time() - self._settings.cache_event_lag_s
        ready = [
            event for event in self._events if event.seq >= first and event.at <= visible_until
        ]
        gap = self._settings.cache_event_gap
        visible = [event for event in ready if not gap or event.seq % gap != gap - 1]
        next_seq = ready[-1].seq + 1 if ready else first
        return {
            "events": [{"seq": e.seq, "kind": e.kind, "keys": e.keys} for e in visible],
            "next": next_seq,
        }

    def _evict(self) -> None:
        evicted = []
        while len(self._blocks) * BLOCK_TOKENS > self._settings.cache_tokens:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._publish("evicted", tuple(evicted))

    def _publish(self, kind: str, keys: tuple[int, ...]) -> None:
        if keys:
            self._events.append(_CacheEvent(trio.current_time(), self._next_seq, kind, keys))
            self._next_seq += 1
