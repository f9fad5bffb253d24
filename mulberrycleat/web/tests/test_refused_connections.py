"""Connections that have carried refusals, in the pool of connections to endpoints."""

from __future__ import annotations

import trio

from mulberrycleat.web.upstream import (
    MAX_REFUSALS,
    Connection,
    ConnectionPool,
    ConnectionSettings,
)

ADDRESS = "10.2.0.1:80"
REFUSAL = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"


class RefusingPipe:
    """An endpoint that refuses each request and keeps the connection."""

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.closed = False

    async def send_all(self, data: bytes) -> None:
        self.answers.append(REFUSAL)

    async def receive_some(self, max_bytes: int) -> bytes:
        return self.answers.pop()

    def is_readable(self) -> bool:
        return bool(self.answers)

    def close(self) -> None:
        self.closed = True


async def connect(address: str, settings: ConnectionSettings) -> RefusingPipe:
    return RefusingPipe()


async def refuse(connection: Connection, request_id: str) -> None:
    """Send a request on a connection, which is refused there."""
    await connection.send(b"GET", b"/x", [(b"host", b"a")], b"")
    assert (await connection.read_head()).status == 503
    assert await connection.read_chunk() == b""
    connection.note_refused(request_id)


async def refusing_pool(*refused: tuple[str, ...]) -> tuple[ConnectionPool, list[Connection]]:
    """Return a pool with one idle connection for each tuple of refused requests, in order."""
    pool = ConnectionPool(connect=connect)
    connections = [await pool.acquire(ADDRESS) for _ in refused]
    for connection, request_ids in zip(connections, refused, strict=True):
        for request_id in request_ids:
            await refuse(connection, request_id)
            connection.start_next()
        # Only a connection with a complete exchange can be put back.
        await refuse(connection, "last")
        pool.put_back(connection)
    return pool, connections


async def test_no_refusal_on_a_connection_is_forgotten_after_another():
    pool, (connection,) = await refusing_pool(("r1", "r2", "r3"))
    for request_id in ("r1", "r2", "r3", "last"):
        assert await pool.acquire(ADDRESS, request_id=request_id) is not connection
    assert await pool.acquire(ADDRESS, request_id="r4") is connection


async def test_a_connection_that_is_passed_over_is_reused_by_the_next_other_request():
    pool, (first, second, third) = await refusing_pool((), ("r1",), ("r1",))
    assert await pool.acquire(ADDRESS, request_id="r1") is first
    assert pool.idle == 2
    # The most recently used one is still the first to be reused.
    assert await pool.acquire(ADDRESS, request_id="r2") is third
    assert await pool.acquire(ADDRESS, request_id="r2") is second
    assert pool.opened == 3


async def test_what_a_connection_remembers_of_refusals_is_bounded():
    pool, (connection,) = await refusing_pool(tuple(f"r{n}" for n in range(MAX_REFUSALS - 2)))
    assert await pool.acquire(ADDRESS, request_id="other") is connection
    await refuse(connection, "other")
    pool.put_back(connection)
    assert pool.idle == 0


async def test_a_connection_that_is_passed_over_ends_at_its_idle_limit():
    pool, (connection,) = await refusing_pool(())
    await trio.sleep(ConnectionSettings().max_idle_s + 0.1)
    assert await pool.acquire(ADDRESS, request_id="last") is not connection
    assert pool.idle == 0
