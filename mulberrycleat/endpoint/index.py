"""Index of the prompt prefixes that each endpoint is assumed to have cached."""

from __future__ import annotations

from collections import OrderedDict

from mulberrycleat.endpoint.prefix import BLOCK_BYTES

__all__ = ["PrefixIndex"]

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_KEYS = 32_768


class PrefixIndex:
    """Map of limited size from prefix keys to sets of endpoints.

    Its contents are assumptions: keys are added when a request is sent and by cache events, and
    removed by cache events. Events are late and some are lost, so callers discount the result.

    Parameters
    ----------
    max_keys : int
        Largest number of keys; the least recently used ones are evicted first.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.add("a", (1, 2, 3))
    >>> index.add("b", (1,))
    >>> index.cached_tokens((1, 2, 9))
    {'a': 128, 'b': 64}
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        # Bit masks of the endpoints, by prefix key, least recently used first.
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Record that an endpoint is assumed to have these keys cached."""
        bit = self._endpoint_bit(endpoint)
        for key in keys:
            self._holders[key] = self._holders.get(key, 0) | bit
            self._holders.move_to_end(key)
        while len(self._holders) > self._max_keys:
            self._holders.popitem(last=False)

    def remove(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Record that an endpoint no longer has these keys cached."""
        bit = self._endpoint_bit(endpoint)
        for key in keys:
            left = self._holders.get(key, 0) & ~bit
            if left:
                self._holders[key] = left
            else:
                self._holders.pop(key, None)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint from the sets of all keys."""
        self.remove(endpoint, tuple(self._holders))

    def cached_tokens(self, keys: tuple[int, ...]) -> dict[str, int]:
        """Return the length of the longest prefix assumed to be cached, in tokens, by endpoint.

        Endpoints without a cached prefix are left out.
        """
        found: dict[int, int] = {}
        holders = -1
        for depth, key in enumerate(keys, 1):
            holders &= self._holders.get(key, 0)
            if not holders:
                break
            found[holders] = depth
        return {
            name: max(depth for mask, depth in found.items() if mask & bit) * BLOCK_TOKENS
            for name, bit in self._bits.items()
            if any(mask & bit for mask in found)
        }

    def _endpoint_bit(self, endpoint: str) -> int:
        if endpoint not in self._bits:
            self._bits[endpoint] = 1 << len(self._bits)
        return self._bits[endpoint]
