"""Members: dead, slow and partitioned hosts are distinguished; lists remove no answering host."""

from __future__ import annotations

from random import Random

from mulberrycleat.membership import GossipEntry, MemberHealth, Members
from mulberrycleat.membership.members import REJECTION_S
from mulberrycleat.testing import fixture

OWN = "10.0.0.1:7000"
PEERS = tuple(f"10.0.0.{n}:7000" for n in range(2, 6))
SILENCE_S = 30.0


@fixture
def members() -> Members:
    """Return four members that all answered at time 0."""
    answered_members = Members(OWN, PEERS)
    for address in PEERS:
        answered_members.answered(address, f"{address}/1", 1, 0.01, 0.0)
    return answered_members


def test_member_that_refuses_the_connection_is_dead_at_once(members):
    _fail_heartbeat(members, PEERS[0], now=1.0, sent=False)
    assert members.contact(PEERS[0], 1.0) is MemberHealth.DEAD


def test_member_that_answers_late_or_misses_a_heartbeat_is_slow(members):
    members.answered(PEERS[0], f"{PEERS[0]}/1", 1, 0.9, 1.0)
    _fail_heartbeat(members, PEERS[1], now=1.0, sent=True)
    assert members.contact(PEERS[0], 2.0) is MemberHealth.SLOW
    assert members.contact(PEERS[1], 2.0) is MemberHealth.SLOW
    assert len(members.usable(2.0)) == len(PEERS)


def test_silent_member_is_partitioned_if_other_hosts_hear_it_and_dead_otherwise(members):
    for address in PEERS[:2]:
        _fail_heartbeat(members, address, SILENCE_S, sent=True)
    for address in PEERS[2:]:
        members.answered(address, f"{address}/1", 1, 0.01, SILENCE_S)
    members.merge_gossip([GossipEntry(PEERS[0], f"{PEERS[0]}/1", 1.0, 1)], SILENCE_S)
    assert members.contact(PEERS[0], SILENCE_S) is MemberHealth.PARTITIONED
    assert members.contact(PEERS[1], SILENCE_S) is MemberHealth.DEAD


def test_isolated_host_sees_all_members_as_partitioned_not_dead(members):
    for address in PEERS:
        _fail_heartbeat(members, address, SILENCE_S, sent=True)
    assert {members.contact(address, SILENCE_S) for address in PEERS} == {MemberHealth.PARTITIONED}


def test_empty_stale_or_wrong_list_removes_no_answering_host(members):
    members.apply_host_list([], [], 1.0)
    members.apply_host_list(["10.0.9.9:7000", OWN], [], 1.0)
    assert {m.address for m in members.usable(2.0)} == set(PEERS)
    assert members.contact("10.0.9.9:7000", 2.0) is MemberHealth.UNKNOWN


def test_rejected_host_of_another_zone_is_not_added_again_by_the_list(members):
    members.apply_host_list(["10.0.9.9:7000"], [], 1.0)
    members.rejected("10.0.9.9:7000", 1.0)
    members.apply_host_list(["10.0.9.9:7000"], [], 2.0)
    assert "10.0.9.9:7000" not in members.members


def test_rejected_host_is_added_again_by_gossip_after_the_rejection_without_a_list(members):
    address = "10.0.9.9:7000"
    members.rejected(address, 1.0)
    members.merge_gossip([GossipEntry(address, "z/1", 0.0, 1)], REJECTION_S)
    assert address not in members.members
    members.merge_gossip([GossipEntry(address, "z/1", 0.0, 1)], REJECTION_S + 2.0)
    assert address in members.members


def test_gossip_does_not_restore_the_previous_holder_of_a_reused_address(members):
    members.answered(PEERS[0], "b2/2", 1, 0.01, 5.0)
    members.merge_gossip([GossipEntry(PEERS[0], f"{PEERS[0]}/1", 0.0, 9)], 6.0)
    assert members.members[PEERS[0]].holder == "b2/2"
    assert members.members[PEERS[0]].version == 1
    assert members.has_ended(f"{PEERS[0]}/1")


def test_leaving_host_is_not_usable(members):
    members.apply_host_list(PEERS, [PEERS[0]], 1.0)
    assert PEERS[0] not in {m.address for m in members.usable(1.0)}


def test_heartbeat_rate_is_bounded_and_a_frozen_host_is_detected():
    for count in (8, 64):
        asked, detected_s = _simulate(count, Random(count))
        assert asked <= 3
        assert detected_s <= 20.0, count


def _fail_heartbeat(members: Members, address: str, now: float, sent: bool) -> None:
    members.asked(address, now)
    members.heartbeat_failed(address, sent)


def _simulate(count: int, rng: Random) -> tuple[int, float]:
    """Simulate hosts of which one freezes.

    Return the largest number of heartbeats that a host sent in one second, and the time in seconds
    until all other hosts saw the frozen host as dead.
    """
    addresses = [f"10.0.0.{n}:7000" for n in range(count)]
    hosts = {address: Members(address, addresses) for address in addresses}
    dead, freeze_at, max_heartbeats = addresses[0], 20.0, 0
    now = 0.0
    while True:
        now += 1.0
        for address, host in hosts.items():
            if address == dead and now >= freeze_at:
                continue
            targets = host.targets(rng)
            max_heartbeats = max(max_heartbeats, len(targets))
            for target in targets:
                host.asked(target, now)
                if target == dead and now >= freeze_at:
                    host.heartbeat_failed(target, sent=True)
                    continue
                other = hosts[target]
                reply = other.gossip(now, rng)
                other.heartbeat_received(address, f"{address}/1", 1, now)
                other.merge_gossip(host.gossip(now, rng), now)
                host.answered(target, f"{target}/1", 1, 0.01, now)
                host.merge_gossip(reply, now)
        if now < freeze_at:
            continue
        contacts = [host.contact(dead, now) for a, host in hosts.items() if a != dead]
        if all(contact is MemberHealth.DEAD for contact in contacts):
            return max_heartbeats, now - freeze_at
        if now > freeze_at + 100:
            return max_heartbeats, float("inf")
