"""What a host takes for true after a restart: a key, or a server, that was gone before stays so."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_hosts
from mulberrycleat.testing import fixture

# Longer than the time in which an entry that is missing from the store counts as lapsed.
KEPT_S = 4.0


@fixture
def servers():
    return [ServerStandin(f"h{n}", f"10.2.0.{n}:80", "bookings") for n in (1, 2)]


def without_key(version: int):
    tenant = {**CONFIG["tenants"][0], "api_keys": ["key-2"]}
    return {**CONFIG, "version": version, "tenants": [tenant]}


async def test_a_withdrawn_key_stays_withdrawn_after_a_restart(servers):
    async with entry_hosts(2, *servers) as harnesses:
        harnesses[0].store.put("keyed.op", "config", without_key(9))
        await trio.sleep(2.0)
        restarted = harnesses[0].restart("a1")
        await trio.sleep(1.0)
        assert (await restarted.send_request("/book/x")).status == 401


async def test_a_withdrawn_key_stays_withdrawn_after_a_restart_during_an_outage(servers):
    """Of the hosts that live, one was cut off before the change; the others remember it."""
    async with entry_hosts(4, *servers) as harnesses:
        store, apps = harnesses[0].store, harnesses[0].apps
        # The first host neither reaches the store nor the others while the change is made.
        store.turned_away.add("a1")
        others = {address: apps.pop(address) for address in ("a2:3", "a3:3", "a4:3")}
        store.put("keyed.op", "config", without_key(9))
        await trio.sleep(2.5)
        apps.update(others)
        store.down = True
        await trio.sleep(0.5)
        statuses = []
        for number in range(6):
            restarted = harnesses[3].restart("a4")
            await trio.sleep(4.0)
            statuses.append((await restarted.send_request("/book/x", f"r{number}")).status)
            harnesses[3] = restarted
    assert 200 not in statuses


async def test_a_server_that_has_left_is_not_used_again_after_a_restart(servers):
    first, second = servers
    async with entry_hosts(2, *servers) as harnesses:
        store = harnesses[0].store
        store.put("keyed.servers", "h1", first.entry(state="draining"))
        await trio.sleep(0.5)
        store.put("keyed.servers", "h1", None)
        await trio.sleep(KEPT_S)
        before = len(first.seen)
        restarted = harnesses[0].restart("a1")
        await trio.sleep(1.0)
        for number in range(10):
            assert (await restarted.send_request("/find/x", f"r{number}", "GET")).status == 200
        store.down = True
        await trio.sleep(1.0)
        again = harnesses[1].restart("a2")
        await trio.sleep(4.0)
        for number in range(10):
            await again.send_request("/find/x", f"s{number}", "GET")
    assert len(first.seen) == before
    assert second.seen
