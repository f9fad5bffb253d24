"""Histograms of durations, with the same range and precision on all hosts so that they add up."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

__all__ = [
    "UNITS_PER_S",
    "count_within",
    "decode",
    "encode",
    "new_histogram",
    "record",
    "seconds_at",
]

UNITS_PER_S = 10_000  # Histograms count durations in units of 0.1 ms.
MAX_DURATION_S = 600
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4


def new_histogram() -> HdrHistogram:
    """Return an empty histogram from 0.1 ms to 600 s with two significant digits."""
    return HdrHistogram(
        1, MAX_DURATION_S * UNITS_PER_S, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
    )


def record(histogram: HdrHistogram, duration_s: float) -> None:
    """Record a duration in seconds.

    Durations below 0.1 ms are recorded as 0.1 ms, and durations above 600 s as 600 s.
    """
    units = round(duration_s * UNITS_PER_S)
    histogram.record_value(min(max(units, 1), MAX_DURATION_S * UNITS_PER_S))


def encode(histogram: HdrHistogram) -> str:
    """Return a histogram in HdrHistogram's V2 encoding, as base64."""
    return histogram.encode().decode("ascii")


def decode(text: str) -> HdrHistogram:
    """Return the histogram that :func:`encode` encoded as `text`."""
    return HdrHistogram.decode(text.encode("ascii"))


def count_within(histogram: HdrHistogram, bound_s: float) -> int:
    """Return the number of durations of at most `bound_s` seconds, to the histogram's precision.

    >>> histogram = new_histogram()
    >>> for duration_s in (0.5, 1.0, 2.0):
    ...     record(histogram, duration_s)
    >>> count_within(histogram, 1.0)
    2
    """
    limit = histogram.get_highest_equivalent_value(round(bound_s * UNITS_PER_S))
    within = 0
    for item in histogram.get_recorded_iterator():
        if item.value_iterated_to > limit:
            break
        within += item.count_added_in_this_iter_step
    return within


def seconds_at(histogram: HdrHistogram, percentile: float) -> float:
    """Return the duration at a percentile (0 to 100), in seconds; 0 if nothing was recorded.

    >>> histogram = new_histogram()
    >>> record(histogram, 0.25)
    >>> round(seconds_at(histogram, 95), 2)
    0.25
    """
    return histogram.get_value_at_percentile(percentile) / UNITS_PER_S
