"""Cost of a request, and an upper bound of the cost for the reservation."""

from __future__ import annotations

from mulberrycleat.manifest.model import Pool, Price

__all__ = ["cost_of", "largest_cost"]

MILLITOKENS_PER_TOKEN = 1000
# Prompt tokens added to the upper bound for each message, beside those of its text.
MESSAGE_OVERHEAD_TOKENS = 8


def cost_of(price: Price, prompt: int, cached: int, generated: int) -> int:
    """Return the cost of a request in budget tokens, rounded up once after summation.

    Parameters
    ----------
    prompt, cached, generated : int
        Numbers of tokens; `cached` is the part of `prompt` that was found in a prefix cache.

    Examples
    --------
    >>> cost_of(Price(prompt=1000, cached=100, generated=2000), 100, 50, 10)
    75
    """
    millitokens = (prompt - cached) * price.prompt + cached * price.cached
    millitokens += generated * price.generated + price.fixed
    return -(-millitokens // MILLITOKENS_PER_TOKEN)


def largest_cost(pool: Pool, text_bytes: int, messages: int, generated: int) -> int:
    """Return the highest possible cost of a request in budget tokens, for its reservation.

    Parameters
    ----------
    text_bytes : int
        Size of all messages in bytes.
    messages : int
        Number of messages.
    generated : int
        Limit on generated tokens that is passed to the endpoint.
    """
    prompt = -(-text_bytes // pool.bytes_per_token) + messages * MESSAGE_OVERHEAD_TOKENS
    prompt_price = max(pool.price.prompt, pool.price.cached)
    millitokens = prompt * prompt_price + generated * pool.price.generated + pool.price.fixed
    return -(-millitokens // MILLITOKENS_PER_TOKEN)
