"""Parsing of numbers from untrusted text."""

from __future__ import annotations

import math

__all__ = ["parse_count", "parse_rate", "parse_seconds"]

# Longest text of a count, in digits; all such counts fit into 64 bits.
MAX_COUNT_DIGITS = 18


def parse_count(text: str) -> int | None:
    """Return the non-negative integer that `text` consists of, or None if it is none.

    Only the digits 0 to 9 are accepted, surrounded by any white space, and at most
    ``MAX_COUNT_DIGITS`` of them.

    >>> parse_count(" 12 "), parse_count("-1"), parse_count("\\u00b2"), parse_count("9" * 5000)
    (12, None, None, None)
    """
    digits = text.strip()
    if len(digits) > MAX_COUNT_DIGITS or not (digits.isascii() and digits.isdigit()):
        return None
    return int(digits)


def parse_seconds(text: str) -> float | None:
    """Return the finite time that `text` consists of, in seconds, or None if it is none.

    Negative times are returned as 0.

    >>> parse_seconds("1.5"), parse_seconds("-2"), parse_seconds("inf"), parse_seconds("soon")
    (1.5, 0.0, None, None)
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None


def parse_rate(text: str) -> float | None:
    """Return the finite non-negative rate that `text` consists of, or None if it is none.

    >>> parse_rate("2.3"), parse_rate("0"), parse_rate("-1"), parse_rate("nan"), parse_rate("")
    (2.3, 0.0, None, None, None)
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
