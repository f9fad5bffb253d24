"""The manifest's fold: one of two racing publishers wins, and nothing goes back."""

from __future__ import annotations

from mulberrycleat.manifest import Accepted, ManifestState, Publish, Refused


def test_of_two_racing_publishers_the_first_wins():
    state = ManifestState().apply(Publish("p1", 0, "ann", {})).apply(Publish("p2", 0, "bo", {}))
    assert state.verdicts["p1"] == Accepted(1)
    assert isinstance(state.verdicts["p2"], Refused)
    assert state.verdicts["p2"].by == "ann"


def test_repeat_after_a_lost_answer_changes_nothing():
    first = Publish("p1", 0, "ann", {})
    state = ManifestState().apply(first).apply(Publish("p2", 1, "bo", {}))
    assert state.apply(first) == state


def test_bad_manifest_is_refused_whole():
    content = {"budgets": [{"name": "b", "account": "nobody"}]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    assert state.version == 0
    assert "budgets[0].account" in state.verdicts["p1"].reason
