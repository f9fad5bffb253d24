"""Concurrent publishers on the same base: exactly one is accepted and the other is refused.

This must hold even if answers to appends are lost.
"""

from __future__ import annotations

from random import Random

import trio
from result import Result

from mulberrycleat.cli.changes import Published, current_state, publish_difference
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.eventlog import FakeEventLog, MemoryStreams
from mulberrycleat.manifest import Accepted, ManifestState, Refused
from mulberrycleat.manifest.sections import Difference

OPERATORS = ("ann", "bo")


async def test_exactly_one_of_concurrent_publishers_is_accepted_despite_lost_answers():
    for seed in range(40):
        verdicts, version = await _run_concurrent_publishers(Random(seed), _publish)
        accepted = [name for name in OPERATORS if isinstance(verdicts[name].verdict, Accepted)]
        refused = [name for name in OPERATORS if isinstance(verdicts[name].verdict, Refused)]
        assert len(accepted) == len(refused) == version == 1, seed
        assert verdicts[refused[0]].verdict.by == accepted[0]
        assert accepted[0] in verdicts[refused[0]].won[0]


async def test_both_changes_take_effect_if_a_lost_answer_is_treated_as_a_failure():
    versions = {
        (await _run_concurrent_publishers(Random(seed), _publish_ignoring_lost_answers))[1]
        for seed in range(40)
    }
    assert versions != {1}


async def test_retry_with_the_same_id_returns_the_first_verdict():
    event_log = FakeEventLog(MemoryStreams(trio.current_time))
    first = (await _publish(event_log, "ann", "id-1")).unwrap()
    await _publish(event_log, "bo", "id-2")
    again = (await _publish(event_log, "ann", "id-1")).unwrap()
    assert again.verdict == first.verdict == Accepted(1)
    assert (await current_state(event_log)).unwrap().version == 2


async def test_publication_returns_an_error_while_the_log_is_unreachable():
    event_log = FakeEventLog(MemoryStreams(trio.current_time))
    event_log.down = True
    assert (await _publish(event_log, "ann", "id-1")).is_err()


async def _run_concurrent_publishers(rng: Random, publish) -> tuple[dict[str, Published], int]:
    streams = MemoryStreams(trio.current_time)
    verdicts: dict[str, Published] = {}
    base_read = trio.Event()

    async def run_publisher(name: str) -> None:
        event_log = _DelayedEventLog(streams, rng, base_read)
        event_log.lose_answers = rng.choice((0, 1, 2, 3))
        verdicts[name] = (await publish(event_log, name, f"id-{name}")).unwrap()

    async with trio.open_nursery() as nursery:
        for name in OPERATORS:
            nursery.start_soon(run_publisher, name)
        await trio.sleep(5.0)
        base_read.set()
    version = (await current_state(FakeEventLog(streams))).unwrap().version
    return verdicts, version


class _DelayedEventLog(FakeEventLog):
    """An event log whose appends wait until all publishers have read their base version."""

    def __init__(self, streams: MemoryStreams, rng: Random, base_read: trio.Event) -> None:
        super().__init__(streams)
        self._rng = rng
        self._base_read = base_read

    async def append(self, stream, records):
        await self._base_read.wait()
        await trio.sleep(self._rng.uniform(0, 1))
        return await super().append(stream, records)


async def _publish(
    event_log: FakeEventLog, name: str, record_id: str
) -> Result[Published, PeerError]:
    def make_difference(state: ManifestState) -> Difference:
        return Difference({"accounts": [{"name": name}]}, {})

    return await publish_difference(event_log, make_difference, name, record_id)


async def _publish_ignoring_lost_answers(
    event_log: FakeEventLog, name: str, record_id: str
) -> Result[Published, PeerError]:
    """Publish under a new id and base until an append is answered and its verdict is accepted."""
    while True:
        appends, lost = event_log.appends, event_log.lose_answers
        outcome = await _publish(event_log, name, new_id())
        answered = event_log.lose_answers == lost and event_log.appends == appends + 1
        if answered and isinstance(outcome.unwrap().verdict, Accepted):
            return outcome
