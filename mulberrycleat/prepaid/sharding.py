"""Assignment of client accounts to shards, each with a ledger of its own."""

from __future__ import annotations

import hashlib

__all__ = ["SHARDS", "shard_of"]

# Number of shards. All hosts of all versions must agree on it, since the ledgers of the shards are
# kept apart in the store.
SHARDS = 8


def shard_of(account: str) -> int:
    """Return the shard of an account, the same at all hosts.

    >>> shard_of("huts")
    3
    """
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % SHARDS
