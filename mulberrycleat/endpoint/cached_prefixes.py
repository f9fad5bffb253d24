"""Which endpoints have lately read which beginnings of prompts. Free of I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = ["MAX_PART_ID_LENGTH", "CachedPrefixes", "Part", "Prefix", "prefixes_of"]

# Most prefixes that are remembered, of all endpoints together. One takes some 200 bytes, so that
# all take 3 MB, a fiftieth of the memory of the smallest host.
MAX_PREFIXES = 16_384
# Longest id of a part that hosts keep and tell each other, in characters; of a longer one, they use
# a digest. Callers' ids have some ten characters.
MAX_PART_ID_LENGTH = 64
# Of a prompt with more parts than this, not each prefix is remembered, but eight for each doubling
# of their number: a request may list a thousand parts.
MAX_DENSE_PREFIXES, DENSE_BITS = 32, 4


class Part(NamedTuple):
    """A part of a prompt that several requests may share, with its length in tokens."""

    id: str
    tokens: int


class Prefix(NamedTuple):
    """A sequence of leading parts of a prompt: a key of fixed size, and its length in tokens."""

    key: int
    tokens: int


def prefixes_of(parts: Sequence[Part]) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt that are remembered, the shortest first.

    Their number grows with the logarithm of that of the parts, and prompts that begin alike have
    the same ones as far as they do. The longest one, of all parts, is always among them.

    Examples
    --------
    >>> one = prefixes_of([Part("a", 5), Part("b", 3)])
    >>> other = prefixes_of([Part("a", 5), Part("c", 3)])
    >>> [prefix.tokens for prefix in one], one[0] == other[0], one[1] == other[1]
    ([5, 8], True, False)
    >>> len(prefixes_of([Part("a", 1)] * 32)), len(prefixes_of([Part("a", 1)] * 1_024))
    (32, 72)
    """
    found = []
    key, tokens = 0, 0
    for number, part in enumerate(parts, 1):
        # The keys of the prefix before and of the part: a text of all ids would take a time and a
        # memory that grow with the square of their number.
        key = hash((key, part.id))
        tokens += part.tokens
        if number == len(parts) or _is_remembered(number):
            found.append(Prefix(key, tokens))
    return tuple(found)


def _is_remembered(number: int) -> bool:
    """Whether the prefix of this number of parts is remembered, whatever follows it."""
    return number <= MAX_DENSE_PREFIXES or number % (1 << (number.bit_length() - DENSE_BITS)) == 0


class CachedPrefixes:
    """Times at which endpoints were last sent prompts with a prefix.

    Times `now` are in seconds, on any clock that does not go back.

    Parameters
    ----------
    max_prefixes : int, optional
        Most prefixes that are remembered; the one that was used least recently is forgotten first.

    Examples
    --------
    >>> prefixes = prefixes_of([Part("a", 5), Part("b", 3)])
    >>> cached = CachedPrefixes()
    >>> cached.note("e1", prefixes[:1], now=2.0)
    >>> cached.tokens("e1", prefixes, since=1.0), cached.tokens("e1", prefixes, since=3.0)
    (5, 0)
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._used_at: OrderedDict[int, float] = OrderedDict()

    def note(self, endpoint: str, prefixes: Iterable[Prefix], now: float) -> None:
        """Note that an endpoint, of one start, is sent a prompt with these prefixes."""
        for prefix in prefixes:
            key = hash((endpoint, prefix.key))
            self._used_at[key] = now
            self._used_at.move_to_end(key)
        while len(self._used_at) > self._max_prefixes:
            self._used_at.popitem(last=False)

    def tokens(self, endpoint: str, prefixes: Iterable[Prefix], since: float) -> int:
        """Return the length of the longest of the prefixes that was used since a time, in tokens.

        All shorter ones must have been used since then, too.
        """
        tokens = 0
        for prefix in prefixes:
            if self._used_at.get(hash((endpoint, prefix.key)), float("-inf")) < since:
                break
            tokens = prefix.tokens
        return tokens

    def has(self, endpoint: str, prefix: Prefix) -> bool:
        """Whether it is remembered that an endpoint was sent a prompt with a prefix."""
        return hash((endpoint, prefix.key)) in self._used_at
