"""TCP proxy between two processes; faults can cut, freeze and slow it."""

from __future__ import annotations

import trio

from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings

__all__ = ["LinkStandin"]

CHUNK_BYTES = 65536


class LinkStandin:
    """Forwards TCP connections from ``listen`` to ``target``.

    Parameters
    ----------
    settings : StandinSettings
        ``listen`` and ``target`` are the ends of the link; faults are injected over HTTP at
        ``control``.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()

    def routes(self) -> tuple:
        """Return the routes that set and read the faults."""
        return self._faults.routes()

    async def run(self) -> None:
        """Accept and forward connections until cancelled."""
        host, _, port = self._settings.listen.rpartition(":")
        await trio.serve_tcp(self._forward, int(port), host=host)

    async def _forward(self, client: trio.SocketStream) -> None:
        if self._faults.on.cut:
            return
        host, _, port = self._settings.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, client, server, nursery.cancel_scope)
            nursery.start_soon(self._copy, server, client, nursery.cancel_scope)
            nursery.start_soon(self._close_when_cut, nursery.cancel_scope)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while self._faults.on.frozen:
                    await self._faults.changed.wait()
                if self._faults.on.delay_s:
                    await trio.sleep(self._faults.on.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _close_when_cut(self, scope: trio.CancelScope) -> None:
        while not self._faults.on.cut:
            await self._faults.changed.wait()
        scope.cancel()
