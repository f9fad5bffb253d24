"""Fold of intents: at most one intent wins per key."""

from __future__ import annotations

from mulberrycleat.once import Abandon, Intent, OnceState, Outcome
from mulberrycleat.once.fold import MAX_ANSWER_BYTES

CREATED_AT = 1_752_139_038.72
TIMED_KEY = "huts:0197f3a0-0000-7000-8000-000000000000"
DAY_S = 86_400.0


def test_later_intent_does_not_win_after_an_outcome():
    state = OnceState()
    state.apply(Intent("i1", "k", "d", "a"))
    state.apply(Outcome("i1", "k", 200, "text/plain", b"done"))
    state.apply(Intent("i2", "k", "d", "b"))
    state.apply(Outcome("i2", "k", 200, "text/plain", b"other"))
    assert state.find("k").outcome.body == b"done"


def test_abandon_frees_the_key_even_before_the_intent_arrives():
    state = OnceState()
    state.apply(Abandon("i1", "k"))
    state.apply(Intent("i1", "k", "d", "a"))
    state.apply(Intent("i2", "k", "d", "b"))
    assert state.find("k").intent.id == "i2"


def test_key_with_creation_time_does_not_win_again_after_eviction():
    state = OnceState(DAY_S)
    state.apply(Intent("i1", TIMED_KEY, "d", "a"), CREATED_AT + 1)
    for late in (0.5 * DAY_S, DAY_S, DAY_S + 2, 30 * DAY_S):
        state.apply(Intent(f"late-{late}", TIMED_KEY, "d", "b"), CREATED_AT + late)
        found = state.find(TIMED_KEY)
        assert found is None or found.intent.id == "i1", late
    assert state.find(TIMED_KEY) is None


def test_key_with_a_future_creation_time_does_not_win():
    state = OnceState(DAY_S)
    state.apply(Intent("i1", TIMED_KEY, "d", "a"), CREATED_AT - 3600)
    assert state.find(TIMED_KEY) is None


def test_oldest_answer_bodies_are_evicted_and_their_keys_stay_done():
    state = OnceState()
    body = b"x" * (MAX_ANSWER_BYTES // 4)
    for number in range(6):
        state.apply(Intent(f"i{number}", f"k{number}", "d", "a"), number)
        state.apply(Outcome(f"i{number}", f"k{number}", 200, "text/plain", body), number)
    kept = [state.find(f"k{number}").outcome.kept for number in range(6)]
    assert kept == [False, False, True, True, True, True]


def test_evicted_keys_use_no_memory():
    state = OnceState(window_s=10)
    for number in range(1000):
        state.apply(Intent(f"i{number}", f"k{number}", "d", "a"), number)
        state.apply(Abandon(f"gone-{number}", f"k{number}"), number)
    assert len(state) <= 11 and not state.seen("i900")
