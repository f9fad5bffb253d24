"""Endpoints that send an earlier answer of a connection once more, before the next one."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import MemoryPipe, ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import Answer, HostHarness, entry_host
from mulberrycleat.platform.tests.test_restarted_endpoints import READS_S, RICH
from mulberrycleat.platform.tests.test_whole_path import PROMPT_HEADERS
from mulberrycleat.web.upstream import ConnectionSettings

EVENTS = 4
# Longer than the time for which an endpoint that declined a request gets none.
READMITTED_S = 0.15
STRAYS = (b"junk\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")


class StrayPipe(MemoryPipe):
    """Connection with bytes that belong to no request, right before or after a statement.

    Parameters
    ----------
    strays : list of bytes
        The bytes; the first statement on any of the connections takes an item.
    comes_first : bool
        Whether they come before the statement.
    """

    def __init__(self, pipe: MemoryPipe, strays: list[bytes], comes_first: bool) -> None:
        super().__init__(pipe._stream)
        self.send_all = self._send_all
        self._strays, self._sign, self._stray = strays, b"born", b""
        if comes_first:
            self._sign = b"/report"

    async def _send_all(self, data: bytes) -> None:
        self._note_sign(data)
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        data, self._stray = self._stray, b""
        if not data:
            data = await super().receive_some(max_bytes)
            self._note_sign(data)
        return data

    def is_readable(self) -> bool:
        return bool(self._stray) or super().is_readable()

    def _note_sign(self, data: bytes) -> None:
        if self._sign in data and self._strays:
            self._stray = self._strays.pop()


def engines(count: int, **options) -> list[ServerStandin]:
    """Return engines that make streams of `EVENTS` events."""
    return [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", events=EVENTS, **options)
        for n in range(1, count + 1)
    ]


def is_whole_stream(answer: Answer) -> bool:
    """Whether a caller got all events in order, and the end of the stream."""
    events = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, EVENTS + 1))
    return (answer.status, answer.body.decode(), answer.complete) == (200, events, True)


async def keep_refused_connections(harness: HostHarness, servers: list[ServerStandin]) -> None:
    """Have all servers decline a request, and the host keep a connection to each."""
    assert (await harness.send_request("/ask/x", "r0", **PROMPT_HEADERS)).status == 503
    await trio.sleep(READMITTED_S)
    assert [len(server.declined_at) for server in servers] == [1] * len(servers)
    for server in servers:
        server.declines = server.omits_request_id = False


async def copy_an_answer(servers: list[ServerStandin], after_s: float) -> None:
    """Have each server send one answer once more, with its next request after a time."""
    await trio.sleep(after_s)
    for server in servers:
        server.copies_answers = 1


async def test_a_copied_refusal_ends_no_stream_that_goes_on_at_another_endpoint():
    for omits_request_id in (False, True):
        servers = engines(2, declines=True, omits_request_id=omits_request_id)
        async with entry_host(*servers) as harness, trio.open_nursery() as nursery:
            await keep_refused_connections(harness, servers)
            for server in servers:
                server.break_after = 2
            nursery.start_soon(copy_an_answer, servers, servers[0].work_s)
            answer = await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS)
        assert is_whole_stream(answer), omits_request_id
        assert [server.ran for server in servers] == [["r1"], ["r1"]]


async def test_a_copied_answer_ends_no_stream_that_begins_while_the_directory_is_out_of_date():
    (server,), store = engines(1), StoreStandin()
    async with entry_host(server, config=RICH, store=store) as harness:
        assert is_whole_stream(await harness.send_request("/ask/x", "r0", **PROMPT_HEADERS))
        store.down = True
        await trio.sleep(READS_S)
        server.copies_answers = 1
        assert is_whole_stream(await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS))
    assert server.ran == ["r0", "r1"]


async def play_stray_bytes(stray: bytes, comes_first: bool) -> None:
    """Have a stream go on where the bytes come on a used connection, and check that it does."""
    servers, strays = engines(2, declines=True), [stray]

    async def connect(address: str, settings: ConnectionSettings) -> StrayPipe:
        return StrayPipe(await harness.servers.connect(address, settings), strays, comes_first)

    async with entry_host(*servers, connect=connect) as harness:
        await keep_refused_connections(harness, servers)
        for server in servers:
            server.break_after = 2
        answer = await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS)
    assert not strays
    assert is_whole_stream(answer), (stray, comes_first)
    assert [server.ran for server in servers] == [["r1"], ["r1"]]


async def test_stray_bytes_after_a_statement_end_no_stream_that_goes_on():
    for stray in STRAYS:
        await play_stray_bytes(stray, comes_first=False)


async def test_stray_bytes_before_a_statement_end_no_stream_that_goes_on():
    for stray in STRAYS:
        await play_stray_bytes(stray, comes_first=True)
