"""Endpoints' entries that hosts take from each other's memory while the store is out of reach."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from mulberrycleat.core import Position
from mulberrycleat.entry.store import DirectoryUpdate
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import HostHarness, PeerClient, entry_hosts
from mulberrycleat.testing import fixture
from mulberrycleat.web.client import HttpAnswer

# Time in which a host that reaches the store again has read it, in seconds.
RETURN_S = 1.2
# Time after which a host that is in touch with the store sends nothing to an endpoint that has
# left, in seconds; the deployment sheets allow 3 s for the contact and 2 s for the end of requests.
IN_TOUCH_S = 3.0


@fixture
def left_server():
    """Return a server whose entry is removed, and which goes on serving."""
    return ServerStandin("h1", "10.2.0.1:80", "bookings")


@fixture
def sound_server():
    return ServerStandin("h2", "10.2.0.2:80", "bookings")


async def send_requests(harness: HostHarness, count: int = 16) -> list[int]:
    """Send requests at the same time, and return the answers' statuses."""
    statuses: list[int] = []

    async def send(number: int) -> None:
        statuses.append((await harness.send_request("/book/x", f"r{number}")).status)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
    return statuses


async def test_an_endpoint_that_left_is_not_used_again_because_a_host_cut_off_remembers_it(
    left_server, sound_server
):
    async with entry_hosts(2, left_server, sound_server) as (first, second):
        store = first.store
        store.turned_away |= {"a1", "a2"}
        await trio.sleep(1.0)
        store.put_endpoint("h1", None)
        first.apps.cut_off.add("a2")
        await trio.sleep(3.0)
        store.turned_away.discard("a1")
        await trio.sleep(RETURN_S)
        store.turned_away.add("a1")
        first.apps.cut_off.clear()
        await trio.sleep(3.0)
        store.turned_away.discard("a1")
        await trio.sleep(IN_TOUCH_S)
        assert await send_requests(first) == [200] * 16
    assert not left_server.seen


async def test_an_endpoint_is_not_dropped_because_a_host_cut_off_earlier_does_not_know_it(
    left_server, sound_server
):
    async with entry_hosts(2, left_server) as (first, second):
        store = first.store
        store.turned_away.add("a2")
        first.apps.cut_off.add("a2")
        first.servers.add(sound_server)
        store.put_endpoint("h2", sound_server.entry())
        await trio.sleep(1.0)
        store.put_endpoint("h1", None)
        await trio.sleep(1.0)
        store.turned_away.add("a1")
        first.apps.cut_off.clear()
        await trio.sleep(3.0)
        assert await send_requests(first) == [200] * 16
    assert not left_server.seen


async def test_a_host_cut_off_for_longer_takes_what_another_one_has_read_since(
    left_server, sound_server
):
    async with entry_hosts(2, left_server, sound_server) as (first, second):
        store = first.store
        store.turned_away.add("a1")
        first.apps.cut_off.add("a1")
        await trio.sleep(1.0)
        store.put_endpoint("h1", left_server.entry(state="draining"))
        await trio.sleep(1.0)
        store.turned_away.add("a2")
        await trio.sleep(1.0)
        first.apps.cut_off.clear()
        await trio.sleep(6.0)
        assert await send_requests(first) == [200] * 16
    assert not left_server.seen


@fixture
def cut_off_answer(left_server):
    """Return a function that asks a host that has lost the store for entries."""

    async def ask(**arguments: Any) -> HttpAnswer:
        async with entry_hosts(1, left_server) as (host,):
            host.store.turned_away.add("a1")
            await trio.sleep(2.0)
            body = msgspec.msgpack.encode(arguments)
            url = "http://a1:3/store/read_entries"
            return (await PeerClient(host.apps).request("POST", url, body)).unwrap()

    return ask


async def test_a_build_that_can_not_decode_the_position_of_entries_gets_them_without_it(
    cut_off_answer,
):
    answer = await cut_off_answer(position=None)
    assert len(msgspec.msgpack.decode(answer.body)) == 5


async def test_entries_are_remembered_with_the_position_up_to_which_they_were_read(cut_off_answer):
    answer = await cut_off_answer(position=None, takes_as_of=True)
    update = msgspec.msgpack.decode(answer.body, type=DirectoryUpdate)
    assert update.as_of == Position(1, 1)
    assert [name for name, _ in update.changes] == ["h1"]


async def test_a_host_that_has_read_as_much_gets_no_entries(cut_off_answer):
    answer = await cut_off_answer(position=Position(1, 1))
    assert answer.status == 503


async def test_entries_that_the_store_lacks_are_not_passed_on_while_they_are_kept(
    left_server, sound_server
):
    async with entry_hosts(1, left_server, sound_server) as (host,):
        host.store.turned_away.add("a1")
        await trio.sleep(1.0)
        host.store.put_endpoint("h1", None)
        host.store.turned_away.clear()
        await trio.sleep(RETURN_S)
        host.store.turned_away.add("a1")
        await trio.sleep(0.5)
        client, url = PeerClient(host.apps), "http://a1:3/store/read_entries"
        running = msgspec.msgpack.encode({"position": Position(1, 1)})
        assert (await client.request("POST", url, running)).unwrap().status == 503
        answer = (await client.request("POST", url, msgspec.msgpack.encode({}))).unwrap()
        assert [name for name, _ in msgspec.msgpack.decode(answer.body)[2]] == ["h2"]


async def test_a_host_without_requests_passes_entries_on_once_it_has_given_up_those_it_waited_for(
    left_server, sound_server
):
    async with entry_hosts(1, left_server, sound_server) as (host,):
        host.store.turned_away.add("a1")
        await trio.sleep(1.0)
        host.store.put_endpoint("h1", None)
        host.store.turned_away.clear()
        await trio.sleep(RETURN_S)
        host.store.turned_away.add("a1")
        await trio.sleep(4.0)
        body = msgspec.msgpack.encode({"position": Position(1, 1)})
        url = "http://a1:3/store/read_entries"
        answer = (await PeerClient(host.apps).request("POST", url, body)).unwrap()
        assert answer.status == 200
        assert [name for name, _ in msgspec.msgpack.decode(answer.body)[2]] == ["h2"]
