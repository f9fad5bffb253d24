"""The manifest's fold: one of two racing publishers wins, and nothing goes back."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from mulberrycleat.manifest import (
    Accepted,
    Change,
    ManifestState,
    Publish,
    Refused,
    check_manifest,
    difference,
    fold,
    split,
)


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


def test_change_carries_only_what_changes():
    content = {"accounts": [{"name": "dolerite"}], "budgets": [_budget("huts"), _budget("trails")]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    after = state.apply(
        Change("p2", 1, "bo", {"budgets": [_budget("maps")]}, {"budgets": ["huts"]})
    )
    assert [budget.name for budget in after.manifest.budgets] == ["trails", "maps"]
    assert after.manifest.accounts is state.manifest.accounts
    assert after.sections["accounts"] is state.sections["accounts"]


def test_change_that_takes_away_what_others_name_is_refused_whole():
    content = {"accounts": [{"name": "dolerite"}], "budgets": [_budget("huts")]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    put = {"budgets": [_budget("maps"), {"name": "x y", "account": "dolerite"}]}
    bad_item = state.apply(Change("p2", 1, "bo", put))
    gone = state.apply(Change("p3", 1, "bo", {}, {"accounts": ["dolerite"]}))
    assert "put.budgets[1].name" in bad_item.verdicts["p2"].reason
    assert "budgets.huts.account" in gone.verdicts["p3"].reason
    assert bad_item.manifest == gone.manifest == state.manifest


def test_change_of_a_budgets_owner_is_checked_against_its_keys():
    key = {"sha256": "0" * 64, "budget": "huts"}
    content = {
        "accounts": [{"name": "dolerite", "keys": [key]}, {"name": "swan"}],
        "budgets": [_budget("huts")],
    }
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    moved = state.apply(Change("p2", 1, "bo", {"budgets": [_budget("huts", "swan")]}))
    assert "belongs to another account" in moved.verdicts["p2"].reason


def test_difference_leads_from_any_manifest_to_any_other():
    rng = Random(6)
    for _ in range(50):
        old, new = (check_manifest(_content(rng)).unwrap() for _ in "ab")
        put, remove = difference(split(old), split(new))
        state = ManifestState(sections=split(old), manifest=old)
        after = state.apply(Change("p", 0, "ann", put, remove))
        assert after.verdicts["p"] == Accepted(1)
        assert after.sections == split(new)
        assert split(after.manifest) == split(new)


def test_forgotten_verdicts_let_no_repeat_take_effect():
    rng = Random(11)
    for verdicts_kept in (1, 3):
        with patch.object(fold, "VERDICTS_KEPT", verdicts_kept):
            _compare_with_unbounded(rng, ManifestState())


def test_forgetting_early_records_would_let_a_repeat_take_effect():
    with patch.object(fold, "VERDICTS_KEPT", 1):
        state = ManifestState().apply(Publish("early", 1, "ann", {}))
        state = state.apply(Publish("p1", 0, "bo", {}))
        assert "early" not in state.verdicts
        assert state.apply(Publish("early", 1, "ann", {})).version == 1
        naive = replace(state, early={})
        assert naive.apply(Publish("early", 1, "ann", {})).version == 2


def _compare_with_unbounded(rng: Random, state: ManifestState) -> None:
    records: list[Publish] = []
    seen: dict[str, int] = {}
    version = 0
    for step in range(400):
        if records and rng.random() < 0.5:
            record = rng.choice(records)
        else:
            record = Publish(f"p{step}", version + rng.choice((-1, 0, 0, 1, 2)), "ann", {})
            records.append(record)
        if record.id not in seen:
            seen[record.id] = version
            version += record.base == version
        state = state.apply(record)
        assert state.version == version


def _budget(name: str, account: str = "dolerite") -> dict[str, str]:
    return {"name": name, "account": account}


def _content(rng: Random) -> dict[str, Any]:
    accounts = rng.sample(["dolerite", "swan", "hills"], rng.randint(1, 3))
    names = rng.sample(["huts", "trails", "maps", "drums"], rng.randint(0, 4))
    budgets = [_budget(name, rng.choice(accounts)) for name in names]
    owned = [b for b in budgets if rng.random() < 0.7]
    keys = {account: [] for account in accounts}
    for budget in owned:
        sha256 = hashlib.sha256(budget["name"].encode()).hexdigest()
        keys[budget["account"]].append({"sha256": sha256, "budget": budget["name"]})
    return {
        "accounts": [{"name": account, "keys": keys[account]} for account in accounts],
        "budgets": budgets,
    }
