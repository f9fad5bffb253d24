"""Short soaks with real host processes; ``bin/soak`` plays more seeds, and longer."""

from __future__ import annotations

import trio

from mulberrycleat.platform.tests.soak import SoakSettings, soak

SEEDS = (2, 5)
SETTINGS = SoakSettings(hosts=2, seconds=7.0)


def test_no_request_runs_twice_or_after_a_refusal_beside_overlapping_faults():
    for seed in SEEDS:
        found = trio.run(soak, SETTINGS, seed)
        assert found.broken == []
        assert 200 in {attempt.status for attempt in found.journal.attempts}
