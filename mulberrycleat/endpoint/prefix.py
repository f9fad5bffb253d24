"""Keys of prompt prefixes, computed the same way by routers and in cache events."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["BLOCK_BYTES", "prefix_keys"]

BLOCK_BYTES = 256
KEY_BYTES = 8


def prefix_keys(model: str, texts: Iterable[str]) -> tuple[int, ...]:
    """Return a key for each complete block of a prompt, over all text up to the end of the block.

    Parameters
    ----------
    model : str
        Name of the model; prefixes of different models never match.
    texts : iterable of str
        Contents of the prompt's messages, in order.

    Returns
    -------
    tuple of int
        One key for every ``BLOCK_BYTES`` bytes of text, shortest prefix first.

    Examples
    --------
    >>> long = "a" * 600
    >>> len(prefix_keys("m", [long]))
    2
    >>> prefix_keys("m", [long, "b"])[:2] == prefix_keys("m", [long, "c"])[:2]
    True
    >>> prefix_keys("other", [long])[0] == prefix_keys("m", [long])[0]
    False
    """
    data = "\0".join(texts).encode()
    key = blake2b(model.encode(), digest_size=KEY_BYTES).digest()
    keys: list[int] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        key = blake2b(key + data[start : start + BLOCK_BYTES], digest_size=KEY_BYTES).digest()
        keys.append(int.from_bytes(key, "big") >> 1)
    return tuple(keys)
