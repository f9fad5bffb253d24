"""Members: dead, slow and cut are told apart, and no list takes a host away that answers."""

from __future__ import annotations

from random import Random

from mulberrycleat.membership import Contact, Heard, Members
from mulberrycleat.testing import fixture

OWN = "10.0.0.1:7000"
PEERS = tuple(f"10.0.0.{n}:7000" for n in range(2, 6))
SILENCE_S = 30.0


@fixture
def members() -> Members:
    """Return members that all answered at time 0."""
    made = Members(OWN, PEERS)
    for address in PEERS:
        made.answered(address, f"{address}/1", 1, 0.01, 0.0)
    return made


def test_refused_connection_is_dead_at_once(members):
    _ask(members, PEERS[0], now=1.0, sent=False)
    assert members.contact(PEERS[0], 1.0) is Contact.DEAD


def test_late_answer_is_slow_not_dead(members):
    members.answered(PEERS[0], f"{PEERS[0]}/1", 1, 0.9, 1.0)
    _ask(members, PEERS[1], now=1.0, sent=True)
    assert members.contact(PEERS[0], 2.0) is Contact.SLOW
    assert members.contact(PEERS[1], 2.0) is Contact.SLOW
    assert len(members.usable(2.0)) == len(PEERS)


def test_silent_host_that_others_hear_is_cut_and_one_that_nobody_hears_is_dead(members):
    for address in PEERS[:2]:
        _ask(members, address, SILENCE_S, sent=True)
    for address in PEERS[2:]:
        members.answered(address, f"{address}/1", 1, 0.01, SILENCE_S)
    members.told([Heard(PEERS[0], f"{PEERS[0]}/1", 1.0, 1)], SILENCE_S)
    assert members.contact(PEERS[0], SILENCE_S) is Contact.CUT
    assert members.contact(PEERS[1], SILENCE_S) is Contact.DEAD


def test_host_that_nobody_answers_calls_no_other_dead(members):
    for address in PEERS:
        _ask(members, address, SILENCE_S, sent=True)
    assert {members.contact(address, SILENCE_S) for address in PEERS} == {Contact.CUT}


def test_empty_stale_or_wrong_list_takes_no_answering_host_away(members):
    members.listed([], [], 1.0)
    members.listed(["10.0.9.9:7000", OWN], [], 1.0)
    assert {m.address for m in members.usable(2.0)} == set(PEERS)
    assert members.contact("10.0.9.9:7000", 2.0) is Contact.UNKNOWN


def test_listed_host_of_another_zone_is_rejected_and_not_asked_again_soon(members):
    members.listed(["10.0.9.9:7000"], [], 1.0)
    members.rejected("10.0.9.9:7000", 1.0)
    members.listed(["10.0.9.9:7000"], [], 2.0)
    assert "10.0.9.9:7000" not in members.members


def test_returned_address_is_another_host_and_gossip_does_not_bring_the_old_one_back(members):
    members.answered(PEERS[0], "b2/2", 1, 0.01, 5.0)
    members.told([Heard(PEERS[0], f"{PEERS[0]}/1", 0.0, 9)], 6.0)
    assert members.members[PEERS[0]].holder == "b2/2"
    assert members.members[PEERS[0]].version == 1
    assert members.has_ended(f"{PEERS[0]}/1")


def test_leaving_host_gets_no_task(members):
    members.listed(PEERS, [PEERS[0]], 1.0)
    assert PEERS[0] not in {m.address for m in members.usable(1.0)}


def test_heartbeats_a_second_do_not_grow_with_the_hosts_and_still_find_a_death():
    for count in (8, 64):
        asked, found_s = _simulate(count, Random(count))
        assert asked <= 3
        assert found_s <= 20.0, count


def _ask(members: Members, address: str, now: float, sent: bool) -> None:
    members.asked(address, now)
    members.failed(address, sent)


def _simulate(count: int, rng: Random) -> tuple[int, float]:
    """Return the most heartbeats a host sent in a second, and when all knew of a frozen host."""
    addresses = [f"10.0.0.{n}:7000" for n in range(count)]
    hosts = {address: Members(address, addresses) for address in addresses}
    dead, froze_at, most = addresses[0], 20.0, 0
    now = 0.0
    while True:
        now += 1.0
        for address, host in hosts.items():
            if address == dead and now >= froze_at:
                continue
            targets = host.targets(rng)
            most = max(most, len(targets))
            for target in targets:
                host.asked(target, now)
                if target == dead and now >= froze_at:
                    host.failed(target, sent=True)
                    continue
                other = hosts[target]
                reply = other.gossip(now, rng)
                other.called(address, f"{address}/1", 1, now)
                other.told(host.gossip(now, rng), now)
                host.answered(target, f"{target}/1", 1, 0.01, now)
                host.told(reply, now)
        if now < froze_at:
            continue
        contacts = [host.contact(dead, now) for a, host in hosts.items() if a != dead]
        if all(contact is Contact.DEAD for contact in contacts):
            return most, now - froze_at
        if now > froze_at + 100:
            return most, float("inf")
