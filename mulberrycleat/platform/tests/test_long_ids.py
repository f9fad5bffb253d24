"""Ids as long as a head allows, of which hosts keep only what has a fixed size.

Each test guards against memory that grows with the size of what callers state, which no budget
counts, and against records that other hosts can't read because of it.
"""

from __future__ import annotations

from collections.abc import Callable

from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host, entry_hosts
from mulberrycleat.platform.tests.test_stream_versions import TAKEN_UP, engines
from mulberrycleat.testing import fixture
from mulberrycleat.testing.held_memory import count_large_objects, no_collections

ID_LENGTH = 12_000
REQUESTS = 40
# Texts of the last request, which stand-ins and connections may still have.
MOST_KEPT = 8
RICH = {**CONFIG, "tenants": [{**CONFIG["tenants"][0], "prepaid": 10**9}]}


@fixture
def engine() -> ServerStandin:
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=2)


async def check_none_kept(
    harness: HostHarness, engine: ServerStandin, names: Callable[[int], dict[str, str]]
) -> None:
    """Send streams with the headers that `names` returns, and assert that no long text is kept."""
    await harness.send_request("/ask/x", **names(0))
    with no_collections():
        for number in range(1, REQUESTS + 1):
            assert (await harness.send_request("/ask/x", **names(number))).status == 200
        engine.seen.clear()
        # The stand-in's connection still has the last one.
        assert count_large_objects(ID_LENGTH) <= MOST_KEPT


async def test_prompts_with_very_long_part_ids_take_little_memory(engine):
    def names(number: int) -> dict[str, str]:
        prefix = f"{number:0{ID_LENGTH}x}:90"
        return {
            "request_id": f"r{number}",
            "model": "m",
            "token_counts": "90,4",
            "prompt_prefix": prefix,
        }

    async with entry_host(engine, config=RICH) as harness:
        await check_none_kept(harness, engine, names)


async def test_streams_with_very_long_request_ids_take_little_memory(engine):
    def names(number: int) -> dict[str, str]:
        return {
            "request_id": f"{number:0{ID_LENGTH}}",
            "model": "m",
            "token_counts": "90,4",
            "prompt_prefix": "aa:90",
        }

    async with entry_host(engine, config=RICH) as harness:
        await check_none_kept(harness, engine, names)


async def test_a_stream_with_a_very_long_request_id_goes_on_at_its_version_at_another_host():
    """Its origin was not recorded."""
    servers = engines("v1", "v2", "v1", "v2", break_after=2)
    names = {"model": "m", "token_counts": "90,20", "prompt_prefix": "aa:30,bb:20,cc:40"}
    long_id = "s" * ID_LENGTH
    async with entry_hosts(2, *servers, config=TAKEN_UP) as harnesses:
        answer = await harnesses[0].send_request("/ask/x", long_id, **names)
        assert answer.body.count(b"id: ") == 2
        for server in servers:
            server.break_after = None
        names |= {"resumes": long_id, "last_event_id": "2"}
        answer = await harnesses[1].send_request("/ask/x", "t", **names)
    assert (answer.status, answer.complete) == (200, True)


def test_part_ids_differ_if_their_texts_do():
    texts = ["a" * ID_LENGTH, "a" * (ID_LENGTH + 1), "b" * ID_LENGTH, "a", "A"]
    value = ",".join(f"{text}:1" for text in texts).encode()
    parts = PlatformHeaderCodec().read_request([(b"prompt-prefix", value)]).parts
    assert len({part.id for part in parts}) == 4
    assert max(len(part.id) for part in parts) <= 64
