"""The fold of intents: one dispatch a key."""

from __future__ import annotations

from mulberrycleat.once import Abandon, Intent, OnceState, Outcome


def test_second_intent_never_wins_after_an_outcome():
    state = OnceState()
    state.apply(Intent("i1", "k", "d", "a"))
    state.apply(Outcome("i1", "k", 200, "text/plain", "done"))
    state.apply(Intent("i2", "k", "d", "b"))
    state.apply(Outcome("i2", "k", 200, "text/plain", "other"))
    assert state.find("k").outcome.body == "done"


def test_abandon_frees_the_key_even_when_it_comes_before_the_intent():
    state = OnceState()
    state.apply(Abandon("i1", "k"))
    state.apply(Intent("i1", "k", "d", "a"))
    state.apply(Intent("i2", "k", "d", "b"))
    assert state.find("k").intent.id == "i2"
