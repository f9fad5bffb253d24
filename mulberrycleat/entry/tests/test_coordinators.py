"""Choice of the hosts that hold slices, in fleets of different sizes."""

from __future__ import annotations

from collections import Counter

from mulberrycleat.entry.coordinators import (
    CANDIDATES_PER_ZONE,
    FURTHER_KEEPERS,
    HOST_ACTIVE_S,
    SMALL_ZONE_HOSTS,
    CoordinatorMap,
    HostEntry,
)
from mulberrycleat.prepaid import Role
from mulberrycleat.prepaid.sharding import SHARDS, shard_of

ZONES = ("z1", "z2", "z3", "z4", "z5")


def entries_of(hosts_per_zone: int, cores=lambda number: 1.0) -> dict[str, HostEntry]:
    return {
        f"{zone}-{n}": HostEntry(f"{zone}-{n}", "1", 1, zone, f"{zone}-{n}:3", cores(n))
        for zone in ZONES
        for n in range(hosts_per_zone)
    }


def map_of(entries: dict[str, HostEntry], name: str, now: float = 0.0) -> CoordinatorMap:
    found = CoordinatorMap(name, entries[name].zone)
    found.update(entries, now)
    return found


def test_the_hosts_that_follow_a_ledger_do_not_grow_with_the_fleet():
    for hosts_per_zone in (3, 10, 39):
        entries = entries_of(hosts_per_zone)
        maps = {name: map_of(entries, name) for name in entries}
        for shard in range(SHARDS):
            roles = Counter(found.role(shard) for found in maps.values())
            assert roles[Role.COORDINATOR] == 1
            assert roles[Role.ZONE_COORDINATOR] == len(ZONES) - 1
        followed = [
            sum(found.role(shard) is not Role.OTHER for shard in range(SHARDS))
            for found in maps.values()
        ]
        assert sum(followed) == SHARDS * len(ZONES)


def test_all_hosts_of_small_zones_are_candidates_and_some_of_larger_ones():
    assert len(map_of(entries_of(SMALL_ZONE_HOSTS), "z1-0").candidates) == 3 * len(ZONES)
    larger = map_of(entries_of(SMALL_ZONE_HOSTS + 1), "z1-0")
    assert len(larger.candidates) == CANDIDATES_PER_ZONE * len(ZONES)


def test_hosts_with_most_capacity_are_chosen():
    entries = entries_of(10, cores=lambda number: 2.0 if number in (4, 7) else 0.4)
    chosen = map_of(entries, "z1-0").candidates
    assert {name[-1] for name in chosen} == {"4", "7"}


def test_a_coordinator_that_ends_or_falls_silent_is_replaced():
    entries = entries_of(6)
    found = map_of(entries, "z1-0")
    first = found.coordinators(0)[0]
    ended = HostEntry(first, "1", 2, entries[first].zone, "", ended=True)
    assert found.update({first: ended}, 1.0)
    second = found.coordinators(0)[0]
    assert second != first
    renewed = {
        name: HostEntry(name, "1", 2, entry.zone, entry.peer_address)
        for name, entry in entries.items()
        if name not in (first, second)
    }
    found.update(renewed, HOST_ACTIVE_S - 1.0)
    assert found.coordinators(0)[0] == second
    assert found.update({}, HOST_ACTIVE_S + 0.1)
    assert found.coordinators(0)[0] not in (first, second)


def test_the_witness_of_a_record_coordinates_the_shard_in_no_zone_and_is_of_another_zone():
    for hosts_per_zone in (3, 8):
        entries = entries_of(hosts_per_zone)
        maps = {name: map_of(entries, name) for name in entries}
        for shard in range(SHARDS):
            for name, found in maps.items():
                witness = found.witness(shard)
                assert maps[witness].role(shard) is Role.OTHER
                assert entries[witness].zone != entries[name].zone


def test_records_are_kept_by_the_candidates_and_by_a_few_hosts_that_are_none():
    for hosts_per_zone in (4, 39):
        entries = entries_of(hosts_per_zone)
        maps = [map_of(entries, name) for name in entries]
        keepers = maps[0].keepers(3)
        assert all(found.keepers(3) == keepers for found in maps)
        assert set(maps[0].candidates) < set(keepers)
        assert len(keepers) == len(maps[0].candidates) + FURTHER_KEEPERS


def test_a_small_fleet_has_witnesses_too():
    for hosts_per_zone, zones in ((1, 5), (2, 1)):
        entries = {n: e for n, e in entries_of(hosts_per_zone).items() if e.zone in ZONES[:zones]}
        for name in entries:
            assert map_of(entries, name).witness(0) not in (None, name)
    assert map_of(entries_of(1), "z1-0").witness(0) is not None
    alone = {"z1-0": entries_of(1)["z1-0"]}
    assert map_of(alone, "z1-0").witness(0) is None


def test_hosts_that_know_the_same_entries_choose_the_same_coordinators():
    entries = entries_of(8)
    for shard in range(SHARDS):
        assert len({map_of(entries, name).coordinators(shard)[0] for name in entries}) == 1


def test_accounts_are_spread_over_the_shards():
    counts = Counter(shard_of(f"account-{number}") for number in range(800))
    assert set(counts) == set(range(SHARDS))
    assert max(counts.values()) < 2 * 800 / SHARDS


def test_a_host_that_was_cut_off_does_not_bring_back_an_earlier_start_of_another_one():
    first = HostEntry("z1-1", "1", 9, "z1", "z1-1:3")
    second = HostEntry("z1-1", "2", 1, "z1", "z1-1:3")
    found = CoordinatorMap("z1-0", "z1")
    for number, entry in enumerate((first, second)):
        found.update({"z1-1": entry}, float(number))
    found.update({"z1-1": first}, 10.0, may_be_older=True)
    assert found.entries == (second,)
    assert not found.has_ended("2")
    assert found.host_count(1.0 + HOST_ACTIVE_S) == 0


def test_a_host_whose_last_start_has_ended_is_not_active_again_from_what_others_remember():
    first = HostEntry("z1-1", "1", 9, "z1", "z1-1:3")
    second = HostEntry("z1-1", "2", 1, "z1", "z1-1:3")
    found = CoordinatorMap("z1-0", "z1")
    for number, entry in enumerate(
        (first, second, HostEntry("z1-1", "2", 2, "z1", "", ended=True))
    ):
        found.update({"z1-1": entry}, float(number))
    found.update({"z1-1": first}, 3.0, may_be_older=True)
    assert not found.entries
