"""Racing publishers: exactly one is accepted and the other told, whatever answers are lost."""

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


async def test_of_racing_publishers_with_lost_answers_exactly_one_is_accepted():
    for seed in range(40):
        verdicts, version = await _race(Random(seed), _publish)
        accepted = [name for name in OPERATORS if isinstance(verdicts[name].verdict, Accepted)]
        refused = [name for name in OPERATORS if isinstance(verdicts[name].verdict, Refused)]
        assert len(accepted) == len(refused) == version == 1, seed
        assert verdicts[refused[0]].verdict.by == accepted[0]
        assert accepted[0] in verdicts[refused[0]].won[0]


async def test_publisher_that_takes_a_lost_answer_for_a_failure_lets_both_take_effect():
    versions = {(await _race(Random(seed), _naive_publish))[1] for seed in range(40)}
    assert versions != {1}


async def test_repeat_with_the_same_id_returns_the_first_verdict():
    event_log = FakeEventLog(MemoryStreams(trio.current_time))
    first = (await _publish(event_log, "ann", "id-1")).unwrap()
    await _publish(event_log, "bo", "id-2")
    again = (await _publish(event_log, "ann", "id-1")).unwrap()
    assert again.verdict == first.verdict == Accepted(1)
    assert (await current_state(event_log)).unwrap().version == 2


async def test_publisher_says_that_it_does_not_know_while_the_log_is_down():
    event_log = FakeEventLog(MemoryStreams(trio.current_time))
    event_log.down = True
    assert (await _publish(event_log, "ann", "id-1")).is_err()


async def _race(rng: Random, publish) -> tuple[dict[str, Published], int]:
    streams = MemoryStreams(trio.current_time)
    verdicts: dict[str, Published] = {}
    base_read = trio.Event()

    async def operate(name: str) -> None:
        event_log = _SlowLog(streams, rng, base_read)
        event_log.lose_answers = rng.choice((0, 1, 2, 3))
        verdicts[name] = (await publish(event_log, name, f"id-{name}")).unwrap()

    async with trio.open_nursery() as nursery:
        for name in OPERATORS:
            nursery.start_soon(operate, name)
        await trio.sleep(5.0)
        base_read.set()
    version = (await current_state(FakeEventLog(streams))).unwrap().version
    return verdicts, version


class _SlowLog(FakeEventLog):
    """A log whose appends wait until every publisher has read its base."""

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
    def make(state: ManifestState) -> Difference:
        return Difference({"accounts": [{"name": name}]}, {})

    return await publish_difference(event_log, make, name, record_id)


async def _naive_publish(
    event_log: FakeEventLog, name: str, record_id: str
) -> Result[Published, PeerError]:
    """Publish again under a new id and base until an answer says that it took effect."""
    while True:
        appends, lost = event_log.appends, event_log.lose_answers
        outcome = await _publish(event_log, name, new_id())
        answered = event_log.lose_answers == lost and event_log.appends == appends + 1
        if answered and isinstance(outcome.unwrap().verdict, Accepted):
            return outcome
