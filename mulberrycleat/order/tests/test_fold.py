"""Leases of the order stream: one holder at a time, according to the time stamps of the log."""

from __future__ import annotations

from random import Random

from mulberrycleat.order import Claim, Hold, LeaseState, OutOfService, Phase, Release

LEASE_S = 15.0
RETENTION_S = 200.0
OUT = {"g1": OutOfService(Phase.DRAINING)}


def test_claim_is_granted_only_when_no_lease_is_running():
    state = LeaseState()
    state.apply(_claim("c1"), 0, 100.0)
    state.apply(Hold("p", 1), 1, 110.0)
    state.apply(_claim("c2"), 2, 124.0)
    assert state.leases["p"].claim == "c1"
    state.apply(_claim("c2"), 3, 125.1)
    assert (state.leases["p"].claim, state.leases["p"].number) == ("c2", 4)


def test_records_of_a_holder_whose_lease_expired_are_ignored():
    state = LeaseState()
    state.apply(_claim("c1"), 0, 100.0)
    state.apply(_claim("c2"), 1, 120.0)
    state.apply(Hold("p", 1, OUT), 2, 121.0)
    state.apply(Release("p", 1), 3, 122.0)
    assert state.leases["p"].claim == "c2"
    assert state.out() == {}


def test_retried_claim_after_a_lost_answer_is_not_granted_again():
    state = LeaseState()
    state.apply(_claim("c1"), 0, 100.0)
    state.apply(_claim("c1"), 1, 120.0)
    assert state.leases["p"].number == 1


def test_next_holder_inherits_the_endpoints_that_are_out_of_service():
    state = LeaseState()
    state.apply(_claim("c1"), 0, 100.0)
    state.apply(Hold("p", 1, OUT), 1, 101.0)
    state.apply(_claim("c2"), 2, 120.0)
    assert state.out() == OUT


def test_host_that_missed_expired_records_folds_to_the_same_leases():
    rng = Random(5)
    records, at, fencing_numbers = [], 0.0, [0]
    for offset in range(2000):
        at += rng.uniform(0, 8)
        kind = rng.random()
        if kind < 0.4:
            record = _claim(f"c{offset}")
        elif kind < 0.9:
            record = Hold("p", rng.choice(fencing_numbers[-2:]))
        else:
            record = Release("p", fencing_numbers[-1])
        records.append((record, offset, at))
        fencing_numbers = _recent_fencing_numbers(records)
    complete, late = LeaseState(), LeaseState()
    for record, offset, at in records:
        complete.apply(record, offset, at)
        if offset >= 1000:
            late.apply(record, offset, at)
            if at > records[1000][2] + RETENTION_S:
                assert late.leases == complete.leases


def _recent_fencing_numbers(records: list) -> list[int]:
    granted = [offset + 1 for record, offset, _ in records[-5:] if isinstance(record, Claim)]
    return granted or [0]


def _claim(claim_id: str) -> Claim:
    return Claim(claim_id, "p", f"holder-{claim_id}", LEASE_S)
