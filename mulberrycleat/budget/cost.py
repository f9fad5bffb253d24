"""What a request costs, and the most that it can cost."""

from __future__ import annotations

from mulberrycleat.manifest.model import Pool, Price

__all__ = ["cost_of", "largest_cost"]

MILLI = 1000
MESSAGE_OVERHEAD_TOKENS = 8


def cost_of(price: Price, prompt: int, cached: int, generated: int) -> int:
    """Return the cost in budget tokens, rounded up once.

    Parameters
    ----------
    prompt, cached, generated : int
        Tokens; `cached` is the part of `prompt` that was found in a prefix cache.

    Examples
    --------
    >>> cost_of(Price(prompt=1000, cached=100, generated=2000), 100, 50, 10)
    75
    """
    milli = (prompt - cached) * price.prompt + cached * price.cached
    milli += generated * price.generated + price.fixed
    return -(-milli // MILLI)


def largest_cost(pool: Pool, text_bytes: int, messages: int, generated: int) -> int:
    """Return the most that a request can cost, for its reservation.

    Parameters
    ----------
    text_bytes : int
        Bytes of all messages.
    messages : int
        Number of messages.
    generated : int
        Bound on generated tokens that the endpoint is given.
    """
    prompt = -(-text_bytes // pool.bytes_per_token) + messages * MESSAGE_OVERHEAD_TOKENS
    dearer = max(pool.price.prompt, pool.price.cached)
    milli = prompt * dearer + generated * pool.price.generated + pool.price.fixed
    return -(-milli // MILLI)
