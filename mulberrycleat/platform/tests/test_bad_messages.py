"""Malformed messages from the store, from servers, callers and peers: none ends the process."""

from __future__ import annotations

import contextlib
import math
import struct

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.events import EventSplitter
from mulberrycleat.entry.supervision import RESTART_PAUSE_S, keep_running
from mulberrycleat.platform.config import decode_config, decode_entry
from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store import decode_records
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host, entry_hosts
from mulberrycleat.prepaid.sharding import shard_of
from mulberrycleat.testing import fixture
from mulberrycleat.testing.fuzzing import fuzz
from mulberrycleat.web.upstream import AnswerHead

NUMBERS = st.sampled_from([0, -1, 2**70, math.nan, math.inf, 1e308, True])
VALUES = st.recursive(
    st.none() | NUMBERS | st.integers() | st.floats() | st.text(max_size=6) | st.binary(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=5,
)
HEADER_NAMES = st.sampled_from(
    b"attempt-id timeout-remaining token-counts prompt-prefix last-event-id authorization model "
    b"connection server-load retry-after response-seal not-executed keep-alive".split()
)
HEADERS = st.lists(st.tuples(HEADER_NAMES, st.binary(max_size=12)), max_size=6)
RECORD = {
    "host": "a9",
    "incarnation": "1",
    "number": 1,
    "map_version": 7,
    "shares": {"rangers": [0, 0, 0, 10, 1.0, 1.0, 50, 1.0]},
    "wall_s": 1.0,
}
SHARD = shard_of("rangers")
SLICES = f"keyed.slices.{SHARD}"
TOKEN_HEADERS = {"model": "m", "token_counts": "900,20"}


@fixture
def engine():
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


def poisoned(original, path, value):
    """Return a copy of nested dicts and lists with the item at `path` replaced."""
    if not path:
        return value
    copy = dict(original) if isinstance(original, dict) else list(original)
    copy[path[0]] = poisoned(original[path[0]], path[1:], value)
    return copy


async def assert_serves(harness: HostHarness, request_id: str = "after") -> None:
    answer = await harness.send_request("/ask/x", request_id, **TOKEN_HEADERS)
    assert (answer.status, answer.complete) == (200, True)


async def test_malformed_slice_records_leave_the_host_serving(engine):
    async with entry_host(engine) as harness:
        paths = [("number",), ("wall_s",), ("shares",), ("host",)]
        paths += [("shares", "rangers", n) for n in range(8)]
        for path in paths:
            for value in (math.nan, math.inf, -1, 2**63, None, "x", b"\xff", []):
                data = msgspec.msgpack.encode(poisoned(RECORD, path, value))
                harness.store.append(SLICES, "a9", data)
        harness.store.append(SLICES, "a8", b"\xc1")
        harness.store.append(SLICES, "a8", b"")
        await trio.sleep(3.0)
        # The last readable record of the poisoned host commits few tokens.
        await assert_serves(harness)
        assert harness.host.ready


async def test_malformed_route_maps_and_entries_leave_the_host_serving(engine):
    async with entry_host(engine) as harness:
        for value in (None, 5, "x", [], {"version": -3}, {"version": math.nan}):
            harness.store.append("keyed.op", "config", msgspec.json.encode(value))
            harness.store.append("keyed.servers", "x9", msgspec.json.encode(value))
        for field in CONFIG:
            for value in (None, "x", -1, [None], {"a": []}):
                changed = {**CONFIG, "version": 8, field: value}
                if decode_config(msgspec.json.encode(changed)).is_err():
                    harness.store.put("keyed.op", "config", changed)
        await trio.sleep(4.0)
        await assert_serves(harness)


async def test_malformed_calls_of_peers_are_refused_and_change_nothing(engine):
    async with entry_hosts(2, engine) as harnesses:
        first = harnesses[0]
        await assert_serves(first, "before")
        before = first.host.describe_tokens("rangers")
        calls = {
            f"/tokens/{SHARD}": [
                {"account": "rangers", "tokens": -50_000, "taker": "x", "number": 1},
                {"account": "rangers", "tokens": 0, "taker": "x", "number": 2},
                {"account": 3},
            ],
            f"/tokens/{SHARD}/use": [
                {"incarnation": "", "taker": "x", "number": 1, "uses": [["a", -5, 1]]}
            ],
            f"/tokens/{SHARD}/final-record": [{"host": 1}],
            "/store/append_slices": [{"position": "x"}, {"position": 7}],
            "/store/nothing": [{}],
        }
        client = first.host._peer_http
        for path, bodies in calls.items():
            for body in (*map(msgspec.msgpack.encode, bodies), b"\xc1", b"", b"\xff" * 100):
                answer = (await client.request("POST", f"http://a1:3{path}", body)).unwrap()
                assert 400 <= answer.status < 500
        after = first.host.describe_tokens("rangers")
        assert after["given"] == before["given"] == 0
        await assert_serves(first)


async def test_a_loop_is_started_again_after_an_unexpected_error():
    starts = []

    async def loop() -> None:
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise ZeroDivisionError

    await keep_running(loop, "tests", DecisionLog(trio.current_time))
    assert [round(at - starts[0], 3) for at in starts] == [
        0.0,
        RESTART_PAUSE_S,
        2 * RESTART_PAUSE_S,
    ]


async def test_an_error_in_a_loop_does_not_end_requests_in_flight(engine):
    """The directory's loop fails on an entry that passed the decoder."""
    async with entry_host(engine) as harness, trio.open_nursery() as nursery:
        registry = harness.host._registry
        put, answers = registry.directory.put, []

        def fail(entry, now):
            raise RuntimeError("unexpected")

        async def send(number: int) -> None:
            request_id = f"r{number}"
            answers.append(await harness.send_request("/ask/x", request_id, **TOKEN_HEADERS))

        registry.directory.put = fail
        harness.store.put("keyed.servers", "e2", {**engine.entry(), "address": "10.1.0.2:80"})
        for number in range(12):
            nursery.start_soon(send, number)
            await trio.sleep(0.1)
        registry.directory.put = put
        await trio.sleep(2.0)
        assert [answer.complete for answer in answers] == [True] * 12
        assert "e2" in registry.directory.entries


async def test_a_record_with_an_unreadable_key_does_not_hide_those_after_it(engine):
    async with entry_host(engine) as harness:
        await trio.sleep(1.0)
        unreadable = msgspec.json.encode({**engine.entry(), "address": "10.1.0.3:80"})
        harness.store.append("keyed.servers", "\udcff", unreadable)
        harness.store.put("keyed.servers", "e2", {**engine.entry(), "address": "10.1.0.2:80"})
        await trio.sleep(2.0)
        assert set(harness.host._registry.directory.entries) == {"e1", "e2"}


@fuzz(300)
@given(HEADERS)
def test_no_headers_make_the_codec_raise(headers):
    codec = PlatformHeaderCodec()
    codec.read_request(headers)
    codec.read_answer(AnswerHead(200, headers))


@fuzz(300)
@given(st.binary(max_size=200) | VALUES.map(lambda value: msgspec.msgpack.encode(_plain(value))))
def test_no_value_in_the_store_makes_a_decoder_raise(data):
    decode_config(data)
    decode_entry("e1", data)


@fuzz(200)
@given(
    st.sampled_from([("version",), ("routes", 0), ("routes", 0, "kind"), ("services", 0, "engine")])
    | st.sampled_from([("limits", "idle_timeout_ms"), ("tenants", 0, "prepaid")]),
    VALUES,
)
def test_no_changed_field_of_a_config_makes_the_decoder_raise(path, value):
    decode_config(msgspec.json.encode(_plain(poisoned(CONFIG, path, value))))


@fuzz(300)
@given(st.binary(max_size=120))
def test_bytes_that_are_no_records_raise_only_what_the_client_expects(data):
    with contextlib.suppress(struct.error, IndexError):
        list(decode_records(data))


@fuzz(300)
@given(
    st.lists(st.binary(max_size=12) | st.sampled_from([b"\n\n", b"id: 1", b"\r\n"]), max_size=12)
)
def test_an_event_splitter_keeps_every_byte(parts):
    splitter = EventSplitter()
    data = b"".join(splitter.feed(part).data for part in parts)
    assert data + splitter.rest == b"".join(parts)


def _plain(value):
    """Return `value` with integers that JSON and MessagePack can't hold replaced."""
    if isinstance(value, int) and abs(value) >= 2**63:
        return float(value)
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    return [_plain(item) for item in value] if isinstance(value, list) else value
