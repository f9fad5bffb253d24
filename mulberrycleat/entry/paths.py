"""Controller of the paths to endpoints: opens connections, through other hosts where it has to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from random import Random

import trio

from mulberrycleat.core.logs import exception_origin
from mulberrycleat.endpoint.reachability import Helper, Reachability
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.web.tunnel import (
    CallerPipe,
    TunnelPipe,
    TunnelReply,
    open_tunnel,
    serve_tunnel,
)
from mulberrycleat.web.upstream import ConnectError, ConnectionSettings, Pipe

__all__ = ["Connect", "EndpointPaths"]

Connect = Callable[[str, ConnectionSettings], Awaitable[Pipe]]

# Most other hosts asked for one connection, and how many of them have to find an endpoint out of
# reach until it is taken to be gone.
MAX_HELPERS, GONE_ANSWERS = 4, 2
# Time after which a direct connection that is not open yet is tried through another host, too, in
# seconds: many times what one takes between two zones.
DIRECT_HEAD_START_S = 0.1
# Time that another host has for its reply besides that for its connection, in seconds.
REPLY_MARGIN_S = 0.15
# Interval between checks for trials that are due, in seconds, and most trials at the same time.
TRIAL_CHECK_INTERVAL_S, MAX_TRIALS = 0.1, 8
# Most endpoints that wait for a probe; further ones are not probed.
MAX_PROBES = 64


class EndpointPaths:
    """Opens connections to endpoints, directly or through another host that reaches them.

    The other host only copies bytes: which endpoint gets a request, whether it is sent again and
    what it costs is decided here.

    Parameters
    ----------
    connect : callable
        Opens a direct connection to an endpoint.
    connect_host : callable
        Opens a connection to the address of another host's tunnels.
    helpers : callable
        Returns the other hosts.
    accepts : callable
        Whether this host may open a connection to an endpoint for another host, by the endpoint's
        address.
    on_change : callable
        Called with the address of an endpoint when the path to it was lost or is open again.
    decisions : DecisionLog
        Log of lost and regained paths.
    random : Random
        Source of the order of equally loaded hosts.
    max_tunnels : callable
        Returns the most connections that this host opens for others at the same time.
    """

    def __init__(
        self,
        connect: Connect,
        connect_host: Connect,
        helpers: Callable[[], Sequence[Helper]],
        accepts: Callable[[str], bool],
        on_change: Callable[[str], None],
        decisions: DecisionLog,
        random: Random,
        max_tunnels: Callable[[], int],
    ) -> None:
        self._connect_directly = connect
        self._connect_host = connect_host
        self._helpers = helpers
        self._accepts = accepts
        self._on_change = on_change
        self._decisions = decisions
        self._random = random
        self._max_tunnels = max_tunnels
        self._paths = Reachability()
        self._in_use: Counter[str] = Counter()
        self._serving = 0
        self._stopping = False
        self._trying: set[str] = set()
        self._probes_in, self._probes = trio.open_memory_channel[str](MAX_PROBES)
        self._asked: dict[str, list[Callable[[bool], None]]] = {}
        # Settings of the latest connection, which trials and connections for others use, too.
        self._settings = ConnectionSettings()

    @property
    def lost(self) -> tuple[str, ...]:
        """Addresses of the endpoints to which this host has lost its path."""
        return self._paths.lost

    @property
    def serving(self) -> int:
        """Number of connections that this host has open for other hosts."""
        return self._serving

    def stop(self) -> None:
        """Open no more connections for other hosts."""
        self._stopping = True

    def retain(self, addresses: set[str]) -> None:
        """Forget endpoints that have left."""
        self._paths.retain(addresses)

    def peer_of(self, helper: str) -> str:
        """Return where another host serves calls, given the address of its tunnels."""
        return next((h.peer_address for h in self._helpers() if h.address == helper), "")

    async def connect(self, address: str, settings: ConnectionSettings) -> Pipe:
        """Open a connection to an endpoint; raises :class:`ConnectError`."""
        self._settings = settings
        if not self._paths.is_lost(address):
            return await self._open_either_way(address)
        tunnel = await self._open_through_others(address, MAX_HELPERS)
        if tunnel is not None:
            self._note_lost(address, tunnel.helper)
            return tunnel
        return await self._open_directly(address)

    async def serve(self, pipe: CallerPipe) -> None:
        """Serve one connection of another host: open a connection for it, and copy bytes."""
        self._serving += 1
        try:
            await serve_tunnel(pipe, self._open_for_other)
        except Exception as error:
            self._decisions.warning("internal error", step="tunnel", why=exception_origin(error))
        finally:
            self._serving -= 1

    def probe(self, address: str, then: Callable[[bool], None] = lambda path_is_lost: None) -> None:
        """Find out soon whether the path to an endpoint is lost, after a connection has failed.

        Parameters
        ----------
        then : callable
            Called with the result.
        """
        if self._paths.is_lost(address):
            then(True)
            return
        if address in self._asked:
            self._asked[address].append(then)
            return
        try:
            self._probes_in.send_nowait(address)
            self._asked[address] = [then]
        except trio.WouldBlock:
            then(False)

    async def run(self) -> None:
        """Try lost paths again, and run probes, until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_TRIALS):
                nursery.start_soon(self._run_probes)
            while True:
                for address in self._paths.due_trials(trio.current_time()):
                    if address not in self._trying and len(self._trying) < MAX_TRIALS:
                        self._trying.add(address)
                        nursery.start_soon(self._try_path, address)
                await trio.sleep(TRIAL_CHECK_INTERVAL_S)

    async def _try_path(self, address: str) -> None:
        try:
            (await self._open_directly(address)).close()
        except ConnectError:
            return
        finally:
            self._trying.discard(address)

    async def _run_probes(self) -> None:
        while True:
            address = await self._probes.receive()
            is_lost = False
            try:
                is_lost = await self._find_out(address)
            finally:
                for then in self._asked.pop(address, ()):
                    then(is_lost)

    async def _find_out(self, address: str) -> bool:
        """Return whether the path to an endpoint is lost, rather than open or the endpoint gone."""
        try:
            (await self._open_directly(address)).close()
            return False
        except ConnectError:
            if self._paths.is_gone(address, trio.current_time()):
                return False
        tunnel = await self._open_through_others(address, GONE_ANSWERS)
        if tunnel is None:
            self._paths.note_gone(address, trio.current_time())
            return False
        tunnel.close()
        self._note_lost(address, tunnel.helper)
        return True

    def _note_lost(self, address: str, helper: str) -> None:
        if self._paths.note_lost(address, trio.current_time()):
            self._decisions.warning("path lost", peer=address, through=helper)
            self._on_change(address)

    async def _open_either_way(self, address: str) -> Pipe:
        """Open a direct connection, and one through another host if that fails or takes too long.

        Callers don't wait for an endpoint that is gone: one other host is asked, and a probe finds
        out the rest.
        """
        opened: list[Pipe] = []
        errors: list[ConnectError] = []
        failed = trio.Event()
        suspect = self._paths.is_suspect(trio.current_time())

        async def open_late(nursery: trio.Nursery) -> None:
            with trio.move_on_after(0.0 if suspect else DIRECT_HEAD_START_S):
                await failed.wait()
            # After a delay of the event loop, the direct connection may be open already.
            await trio.lowlevel.checkpoint()
            if self._paths.is_gone(address, trio.current_time()):
                return
            tunnel = await self._open_through_others(address, 1)
            if tunnel is not None:
                opened.append(tunnel)
                nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(open_late, nursery)
                try:
                    opened.append(await self._open_directly(address))
                    nursery.cancel_scope.cancel()
                except ConnectError as error:
                    errors.append(error)
                    failed.set()
        except BaseException:
            for pipe in opened:
                pipe.close()
            raise
        if len(opened) > 1:
            opened.pop().close()
        if not opened or isinstance(opened[0], TunnelPipe):
            self.probe(address)
        if not opened:
            # Taken out, as the list is in a frame of the error's traceback.
            raise errors.pop()
        return opened[0]

    async def _open_directly(self, address: str) -> Pipe:
        pipe = await self._connect_directly(address, self._settings)
        if self._paths.note_open(address, trio.current_time()):
            self._decisions.warning("path regained", peer=address, lost=len(self._paths.lost))
            self._on_change(address)
        return pipe

    async def _open_through_others(self, address: str, answers: int) -> TunnelPipe | None:
        """Return a connection that another host has opened, or None.

        Nobody else is asked once `answers` other hosts have found the endpoint out of reach.
        """
        out_of_reach = 0
        order = self._paths.order_helpers(
            self._helpers(), self._in_use, self._random, trio.current_time()
        )
        for helper in order[:MAX_HELPERS]:
            timeout_s = self._settings.connect_timeout_s + REPLY_MARGIN_S
            found = await open_tunnel(
                helper, address, self._connect_host, self._settings, timeout_s
            )
            if found is not TunnelReply.UNAVAILABLE:
                self._paths.resume_helper(helper)
            match found:
                case TunnelPipe():
                    self._in_use[helper] += 1
                    found.call_on_close(partial(self._in_use.subtract, (helper,)))
                    return found
                case TunnelReply.UNAVAILABLE:
                    self._paths.pause_helper(helper, trio.current_time())
                case TunnelReply.OUT_OF_REACH:
                    out_of_reach += 1
                    if out_of_reach >= answers:
                        break
        return None

    async def _open_for_other(self, address: str) -> Pipe | TunnelReply:
        """Open a connection to an endpoint for another host, never through a third one."""
        full = self._serving > self._max_tunnels()
        if self._stopping or full or self._paths.is_lost(address):
            return TunnelReply.UNAVAILABLE
        if not self._accepts(address):
            return TunnelReply.DECLINED
        try:
            return await self._open_directly(address)
        except ConnectError:
            if self._paths.is_suspect(trio.current_time()):
                return TunnelReply.UNAVAILABLE
            return TunnelReply.OUT_OF_REACH
