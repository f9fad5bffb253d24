"""The fold of the manifest: one of two concurrent publishers wins, and no version is undone."""

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
    to_sections,
)


def test_first_of_two_concurrent_publishers_wins():
    state = ManifestState().apply(Publish("p1", 0, "ann", {})).apply(Publish("p2", 0, "bo", {}))
    assert state.verdicts["p1"] == Accepted(1)
    assert isinstance(state.verdicts["p2"], Refused)
    assert state.verdicts["p2"].by == "ann"


def test_retry_after_a_lost_answer_has_no_effect():
    first = Publish("p1", 0, "ann", {})
    state = ManifestState().apply(first).apply(Publish("p2", 1, "bo", {}))
    assert state.apply(first) == state


def test_invalid_manifest_is_refused_entirely():
    content = {"budgets": [{"name": "b", "account": "nobody"}]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    assert state.version == 0
    assert "budgets[0].account" in state.verdicts["p1"].reason


def test_change_leaves_other_items_and_sections_as_they_are():
    content = {"accounts": [{"name": "dolerite"}], "budgets": [_budget("huts"), _budget("trails")]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    after = state.apply(
        Change("p2", 1, "bo", {"budgets": [_budget("maps")]}, {"budgets": ["huts"]})
    )
    assert [budget.name for budget in after.manifest.budgets] == ["trails", "maps"]
    assert after.manifest.accounts is state.manifest.accounts
    assert after.sections["accounts"] is state.sections["accounts"]


def test_change_with_an_invalid_item_or_a_dangling_reference_is_refused_entirely():
    content = {"accounts": [{"name": "dolerite"}], "budgets": [_budget("huts")]}
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    put = {"budgets": [_budget("maps"), {"name": "x y", "account": "dolerite"}]}
    invalid = state.apply(Change("p2", 1, "bo", put))
    gone = state.apply(Change("p3", 1, "bo", {}, {"accounts": ["dolerite"]}))
    assert "put.budgets[1].name" in invalid.verdicts["p2"].reason
    assert "budgets.huts.account" in gone.verdicts["p3"].reason
    assert invalid.manifest == gone.manifest == state.manifest


def test_change_of_a_budgets_account_is_checked_against_its_keys():
    key = {"sha256": "0" * 64, "budget": "huts"}
    content = {
        "accounts": [{"name": "dolerite", "keys": [key]}, {"name": "swan"}],
        "budgets": [_budget("huts")],
    }
    state = ManifestState().apply(Publish("p1", 0, "ann", content))
    moved = state.apply(Change("p2", 1, "bo", {"budgets": [_budget("huts", "swan")]}))
    assert "belongs to another account" in moved.verdicts["p2"].reason


def test_difference_of_two_manifests_turns_one_into_the_other():
    rng = Random(6)
    for _ in range(50):
        old, new = (check_manifest(_content(rng)).unwrap() for _ in "ab")
        put, remove = difference(to_sections(old), to_sections(new))
        state = ManifestState(sections=to_sections(old), manifest=old)
        after = state.apply(Change("p", 0, "ann", put, remove))
        assert after.verdicts["p"] == Accepted(1)
        assert after.sections == to_sections(new)
        assert to_sections(after.manifest) == to_sections(new)


def test_retry_has_no_effect_after_its_verdict_was_dropped():
    rng = Random(11)
    for verdicts_kept in (1, 3):
        with patch.object(fold, "VERDICTS_KEPT", verdicts_kept):
            _compare_with_unbounded_verdicts(rng, ManifestState())


def test_retry_of_a_record_with_a_base_above_the_version_is_ignored_while_in_early():
    with patch.object(fold, "VERDICTS_KEPT", 1):
        state = ManifestState().apply(Publish("early", 1, "ann", {}))
        state = state.apply(Publish("p1", 0, "bo", {}))
        assert "early" not in state.verdicts
        assert state.apply(Publish("early", 1, "ann", {})).version == 1
        without_early = replace(state, early={})
        assert without_early.apply(Publish("early", 1, "ann", {})).version == 2


def _compare_with_unbounded_verdicts(rng: Random, state: ManifestState) -> None:
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
    with_key = [b for b in budgets if rng.random() < 0.7]
    keys = {account: [] for account in accounts}
    for budget in with_key:
        sha256 = hashlib.sha256(budget["name"].encode()).hexdigest()
        keys[budget["account"]].append({"sha256": sha256, "budget": budget["name"]})
    return {
        "accounts": [{"name": account, "keys": keys[account]} for account in accounts],
        "budgets": budgets,
    }
