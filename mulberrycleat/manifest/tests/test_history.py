"""The manifest's state survives expired records and replaced hosts, and no version is undone."""

from __future__ import annotations

import msgspec
import trio
from result import Ok

from mulberrycleat.eventlog import FakeEventLog, read_all
from mulberrycleat.manifest import (
    PARTS_STREAM,
    STREAM,
    Change,
    ManifestState,
    StreamFold,
    load_checkpoint,
    read_fold,
    state_at,
    write_checkpoint,
)
from mulberrycleat.manifest.tests.fixtures import RETENTION_S


async def test_new_host_starts_from_a_checkpoint_after_records_expired(event_log):
    old = await _new_host(event_log)
    await _publish(event_log, 1, 2, 3)
    await read_fold(event_log, old)
    await trio.sleep(0.9 * RETENTION_S)
    await write_checkpoint(event_log, old.state, old.next)
    await trio.sleep(0.5 * RETENTION_S)
    new = await _new_host(event_log)
    assert new.state.sections == old.state.sections
    assert new.state.version == 3
    assert (await _state_without_checkpoints(event_log)).version == 0


async def test_state_survives_replaced_hosts_over_several_retention_periods(event_log):
    host = await _new_host(event_log)
    version = 0
    for _ in range(12):
        version += 1
        await _publish(event_log, version)
        await read_fold(event_log, host)
        await trio.sleep(0.4 * RETENTION_S)
        await write_checkpoint(event_log, host.state, host.next)
        host = await _new_host(event_log)
        assert host.state.version == version
    names = [account.name for account in host.state.manifest.accounts]
    assert names == [f"account-{n}" for n in range(1, version + 1)]


async def test_host_frozen_until_records_expired_continues_from_the_checkpoint(event_log):
    await _publish(event_log, 1)
    frozen, other = await _new_host(event_log), await _new_host(event_log)
    await _publish(event_log, 2, 3)
    await read_fold(event_log, other)
    await trio.sleep(0.9 * RETENTION_S)
    await write_checkpoint(event_log, other.state, other.next)
    await trio.sleep(0.5 * RETENTION_S)
    await _publish(event_log, 4)
    assert frozen.state.version == 1
    await read_fold(event_log, frozen)
    assert frozen.state.version == 4
    assert len(frozen.state.manifest.accounts) == 4


async def test_checkpoint_of_a_lagging_host_undoes_no_version(event_log):
    await _publish(event_log, 1)
    lagging = await _new_host(event_log)
    await _publish(event_log, 2)
    await write_checkpoint(event_log, lagging.state, lagging.next)
    running = await _new_host(event_log)
    assert running.state.version == 2
    await write_checkpoint(event_log, lagging.state, lagging.next)
    await read_fold(event_log, running)
    assert running.state.version == (await _new_host(event_log)).state.version == 2


async def test_expired_records_without_a_checkpoint_are_an_error_not_an_empty_manifest(event_log):
    await _publish(event_log, 1)
    running = await _new_host(event_log)
    await trio.sleep(2 * RETENTION_S)
    late = StreamFold(lambda c: load_checkpoint(event_log, c))
    assert (await read_fold(event_log, late)).is_err()
    assert not late.complete
    await read_fold(event_log, running)
    await write_checkpoint(event_log, running.state, running.next)
    await read_fold(event_log, late)
    assert late.state.version == 1


async def test_checkpoint_survives_lost_answers_and_a_wrong_digest_is_detected(event_log):
    await _publish(event_log, 1, 2)
    host = await _new_host(event_log)
    event_log.lose_answers = 1
    written = (await write_checkpoint(event_log, host.state, host.next)).unwrap()
    assert (await load_checkpoint(event_log, written)).unwrap().sections == host.state.sections
    broken = msgspec.structs.replace(written, digest="0" * 64)
    assert (await load_checkpoint(event_log, broken)).is_err()


async def test_large_state_is_written_in_several_parts(event_log):
    put = {"accounts": [{"name": f"account-{n}"} for n in range(1200)]}
    await event_log.append(STREAM, (msgspec.to_builtins(Change("p", 0, "ann", put)),))
    host = await _new_host(event_log)
    written = (await write_checkpoint(event_log, host.state, host.next)).unwrap()
    assert written.parts == 3
    assert len((await read_all(event_log, PARTS_STREAM)).unwrap()) == 3
    assert (await _new_host(event_log)).state.sections == host.state.sections


async def test_earlier_version_can_be_read(event_log):
    await _publish(event_log, 1, 2, 3)
    earlier = (await state_at(event_log, 2)).unwrap()
    assert [account.name for account in earlier.manifest.accounts] == ["account-1", "account-2"]
    assert (await state_at(event_log, 9)).unwrap() is None


async def test_state_of_a_peer_is_adopted_only_if_newer(event_log):
    await _publish(event_log, 1, 2)
    host = await _new_host(event_log)
    stale = ManifestState(version=1)
    assert not host.adopt(stale, host.next + 5)
    fresh = StreamFold(lambda c: load_checkpoint(event_log, c))
    assert fresh.adopt(host.state, host.next)
    await _publish(event_log, 3)
    await read_fold(event_log, fresh)
    assert fresh.state.version == 3


async def _publish(event_log: FakeEventLog, *versions: int) -> None:
    for version in versions:
        put = {"accounts": [{"name": f"account-{version}"}]}
        record = Change(f"p{version}", version - 1, "ann", put)
        await event_log.append(STREAM, (msgspec.to_builtins(record),))


async def _new_host(event_log: FakeEventLog) -> StreamFold:
    fold = StreamFold(lambda checkpoint: load_checkpoint(event_log, checkpoint))
    match await read_fold(event_log, fold):
        case Ok(read):
            return read
        case error:
            raise AssertionError(error)


async def _state_without_checkpoints(event_log: FakeEventLog) -> ManifestState:
    """Fold the records that have not expired, ignoring checkpoints."""
    state = ManifestState()
    for entry in (await read_all(event_log, STREAM)).unwrap():
        if entry.data["type"] == "change":
            state = state.apply(msgspec.convert(entry.data, Change))
    return state
