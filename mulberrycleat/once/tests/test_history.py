"""State from a checkpoint and the records after it equals the state from all records."""

from __future__ import annotations

import random

from mulberrycleat.eventlog import Entry, Page
from mulberrycleat.once import Abandon, Intent, OnceHistory, Outcome, checkpoint_parts

KEYS = [f"k{number}" for number in range(8)]
RECORDS = 120
WINDOW_S = 40.0


def random_record(rng: random.Random, number: int):
    key = rng.choice(KEYS)
    earlier = f"i{rng.randrange(number + 1)}:{key}"
    kinds = (
        Intent(f"i{number}:{key}", key, "d", "a"),
        Outcome(earlier, key, 200, "text/plain", b"answer"),
        Abandon(earlier, key),
    )
    return rng.choices(kinds, weights=(3, 2, 2))[0]


def apply_page(history: OnceHistory, entries: list[Entry], earliest: int) -> None:
    page = Page(earliest, len(entries), len(entries), tuple(entries[earliest:]))
    history.check_page(page)
    for entry in page.entries:
        history.apply(entry, entry.data)


def winners(history: OnceHistory) -> dict[str, tuple[str, bool]]:
    found = {key: history.state.find(key) for key in KEYS}
    return {key: (s.intent.id, s.outcome is not None) for key, s in found.items() if s}


def test_state_rebuilt_from_a_checkpoint_equals_the_full_state():
    for seed in range(40):
        rng = random.Random(seed)
        entries: list[Entry] = []
        full = OnceHistory(WINDOW_S)
        checkpoint_at = rng.randrange(20, 80)
        parts: tuple = ()
        for number in range(RECORDS):
            if number == checkpoint_at:
                parts = checkpoint_parts(full, "c1")
            appended = parts and number == checkpoint_at + 10
            record = parts[0] if appended else random_record(rng, number)
            entries.append(Entry(number, float(number), record))
            full.apply(entries[-1], record)
        for earliest in range(1, checkpoint_at + 1):
            late_reader = OnceHistory(WINDOW_S)
            apply_page(late_reader, entries, earliest)
            assert late_reader.complete
            assert winners(late_reader) == winners(full), (seed, earliest)


def test_state_is_incomplete_without_a_usable_checkpoint():
    full = OnceHistory()
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(5)]
    apply_page(full, entries, 0)
    (part,) = checkpoint_parts(full, "c1")
    entries += [Entry(5, 5.0, Intent("i5", "k5", "d", "a")), Entry(6, 6.0, part)]
    late_reader = OnceHistory()
    apply_page(late_reader, entries, 6)
    assert not late_reader.complete


def test_state_becomes_incomplete_when_records_expire_unread():
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(9)]
    history = OnceHistory()
    apply_page(history, entries[:3], 0)
    assert history.complete
    apply_page(history, entries, 6)
    assert not history.complete


def test_answers_still_in_the_log_are_restored():
    full = OnceHistory()
    entries = [Entry(n, float(n), Intent(f"i{n}", f"k{n}", "d", "a")) for n in range(3)]
    entries.append(Entry(3, 3.0, Outcome("i1", "k1", 200, "text/plain", b"booked")))
    apply_page(full, entries, 0)
    (part,) = checkpoint_parts(full, "c1")
    entries.append(Entry(4, 4.0, part))
    late_reader = OnceHistory()
    apply_page(late_reader, entries, 2)
    assert late_reader.state.find("k1").outcome.body == b"booked"
    assert late_reader.state.find("k0").intent.id == "i0"
