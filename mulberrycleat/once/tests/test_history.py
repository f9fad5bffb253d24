"""State from a checkpoint and the records after it equals the state from all records."""

from __future__ import annotations

import random

from mulberrycleat.eventlog import Entry, Page
from mulberrycleat.once import Abandon, Intent, OnceHistory, Outcome, checkpoint_parts

KEYS = [f"k{number}" for number in range(8)]
RECORDS = 120
WINDOW_S = 40.0


def random_record(source: random.Random, number: int):
    key = source.choice(KEYS)
    earlier = f"i{source.randrange(number + 1)}:{key}"
    kinds = (
        Intent(f"i{number}:{key}", key, "d", "a"),
        Outcome(earlier, key, 200, "text/plain", b"answer"),
        Abandon(earlier, key),
    )
    return source.choices(kinds, weights=(3, 2, 2))[0]


def feed(history: OnceHistory, entries: list[Entry], earliest: int) -> None:
    page = Page(earliest, len(entries), len(entries), tuple(entries[earliest:]))
    history.begin_page(page)
    for entry in page.entries:
        history.take(entry, entry.data)


def winners(history: OnceHistory) -> dict[str, tuple[str, bool]]:
    found = {key: history.state.find(key) for key in KEYS}
    return {key: (s.intent.id, s.outcome is not None) for key, s in found.items() if s}


def test_host_that_starts_after_records_expired_knows_what_the_others_know():
    for seed in range(40):
        source = random.Random(seed)
        entries: list[Entry] = []
        whole = OnceHistory(WINDOW_S)
        composed_at = source.randrange(20, 80)
        parts: tuple = ()
        for number in range(RECORDS):
            if number == composed_at:
                parts = checkpoint_parts(whole, "c1")
            appended = parts and number == composed_at + 10
            record = parts[0] if appended else random_record(source, number)
            entries.append(Entry(number, float(number), record))
            whole.take(entries[-1], record)
        for earliest in range(1, composed_at + 1):
            late = OnceHistory(WINDOW_S)
            feed(late, entries, earliest)
            assert late.complete
            assert winners(late) == winners(whole), (seed, earliest)


def test_host_without_a_fitting_checkpoint_knows_nothing():
    whole = OnceHistory()
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(5)]
    feed(whole, entries, 0)
    (part,) = checkpoint_parts(whole, "c1")
    entries += [Entry(5, 5.0, Intent("i5", "k5", "d", "a")), Entry(6, 6.0, part)]
    late = OnceHistory()
    feed(late, entries, 6)
    assert not late.complete


def test_host_that_was_cut_off_past_the_retention_starts_over():
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(9)]
    history = OnceHistory()
    feed(history, entries[:3], 0)
    assert history.complete
    feed(history, entries, 6)
    assert not history.complete


def test_answers_still_in_the_log_are_given_back():
    whole = OnceHistory()
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(3)]
    entries.append(Entry(3, 3.0, Outcome("i1", "k1", 200, "text/plain", b"booked")))
    feed(whole, entries, 0)
    (part,) = checkpoint_parts(whole, "c1")
    entries.append(Entry(4, 4.0, part))
    late = OnceHistory()
    feed(late, entries, 2)
    assert late.state.find("k1").outcome.body == b"booked"
    assert late.state.find("k0").intent.id == "i0"
