"""The entry host: connects callers, endpoints, the platform's store and the other entry hosts."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import trio
from result import Result

from mulberrycleat.core import Refusal, Served, new_id
from mulberrycleat.endpoint.brittleness import BrittleEndpoints
from mulberrycleat.endpoint.cold import ColdEndpoints, ColdRule
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.evacuations import EvacuationChange
from mulberrycleat.endpoint.rate_limits import EndpointLimits, HostPlace
from mulberrycleat.endpoint.reachability import Helper
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.coordinators import HostEntry
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoint_reports import EndpointReports
from mulberrycleat.entry.endpoints import EndpointRegistry
from mulberrycleat.entry.explanation import PlacementExplainer
from mulberrycleat.entry.feeds import DirectoryFeed, MapFeed
from mulberrycleat.entry.filters import (
    AccountFilter,
    CrashingPartFilter,
    DeadlineFilter,
    DispatchFilter,
    OverloadedPools,
    PrepaidFilter,
    RoomFilter,
    RouteFilter,
    StreamVersionFilter,
)
from mulberrycleat.entry.frontend import HttpFrontend
from mulberrycleat.entry.host_load import HostLoad
from mulberrycleat.entry.identities import EndpointIdentities
from mulberrycleat.entry.kept_bytes import (
    BodyRoom,
    CallerShare,
    ConnectionBudget,
    KeptBytes,
    caller_share,
    limit_for,
)
from mulberrycleat.entry.loop_load import EventPacing, LoopLoad
from mulberrycleat.entry.metrics import EntryMetrics
from mulberrycleat.entry.paths import EndpointPaths
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.entry.ports import EntryPorts
from mulberrycleat.entry.protocol import HeaderCodec
from mulberrycleat.entry.relay import RelayedStore
from mulberrycleat.entry.relay_server import RelayServer
from mulberrycleat.entry.report_batches import ReportSender
from mulberrycleat.entry.retries import FleetRetryBudget
from mulberrycleat.entry.roster import HostRoster
from mulberrycleat.entry.settings import Activation, EntrySettings, FleetRequirements
from mulberrycleat.entry.shards import ShardedSlices
from mulberrycleat.entry.shared_loads import LoadSection
from mulberrycleat.entry.shares import ShareSection
from mulberrycleat.entry.shutdown import GracefulShutdown, ShutdownFilter
from mulberrycleat.entry.slices import HeartbeatCount, SliceController
from mulberrycleat.entry.statements import StatementController
from mulberrycleat.entry.store import StateStore
from mulberrycleat.entry.stream_origins import OriginController
from mulberrycleat.entry.supervision import keep_running
from mulberrycleat.entry.zone_exchange import ExchangeState, Section, ZoneExchange
from mulberrycleat.prepaid import Allowance, AllowanceSettings
from mulberrycleat.router.chain import FilterChain
from mulberrycleat.routes import ClientLimits, RouteTable
from mulberrycleat.web import (
    App,
    Reply,
    Request,
    Responder,
    Route,
)
from mulberrycleat.web.connections import ServerConfig
from mulberrycleat.web.tunnel import CallerPipe
from mulberrycleat.web.upstream import ConnectionPool, ConnectionSettings

__all__ = ["EntryHost"]

# Interval between checks of idle connections and of the number of hosts, in seconds.
HOUSEKEEPING_INTERVAL_S = 1.0
# Interval between checks whether the state that a loop starts from has been read, in seconds.
START_CHECK_INTERVAL_S = 0.02
# A host without slices after this time, in seconds, becomes ready and serves requests that need no
# tokens.
SLICES_TIMEOUT_S = 3.0
# Time limit for writing the final record at the end of the process, in seconds. It leaves time for
# a retry after a call to an unreachable store has timed out.
FINAL_RECORD_TIMEOUT_S = 2.0
# Fraction of the descriptors that idle connections to endpoints may use; callers need the others.
IDLE_DESCRIPTOR_SHARE = 0.25
# Most header fields of a request: that of an endpoint's answer, and several times what callers and
# the proxies before them send.
MAX_FIELDS = 256
# Most bytes of a request's body at the addresses for readiness checks and metrics, which use none.
UNUSED_BODY_BYTES = 1024
# Parts of the memory and the number of connections of callers, by address: a crowd at one of them
# leaves the others theirs. Other hosts keep a connection each, of which a fleet has a hundred.
# Readiness checks and metrics need few connections, but at least MIN_CONNECTIONS.
ADDRESS_PARTS = {
    "front": (0.7, 0.5),
    "peers": (0.2, 0.4),
    "readiness": (0.05, 0.05),
    "metrics": (0.05, 0.05),
}
MIN_CONNECTIONS = 8
# Name under which bodies of other hosts' calls are kept; no client account has it.
PEERS_ACCOUNT = "(peers)"
# Fraction of the descriptors that connections for other hosts may use, which take two each.
TUNNEL_DESCRIPTOR_SHARE = 0.25


class EntryHost:
    """The process that runs on each entry host.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    store : StateStore
        The platform's state store.
    decisions : DecisionLog
        Log of decisions.
    ports : EntryPorts, optional
        Connections of the process to the outside.
    """

    def __init__(
        self,
        settings: EntrySettings,
        codec: HeaderCodec,
        store: StateStore,
        decisions: DecisionLog,
        ports: EntryPorts | None = None,
    ) -> None:
        ports = ports or EntryPorts()
        self._ports = ports
        self._settings = settings
        self._decisions = decisions
        self._limits = ClientLimits()
        self._kept = KeptBytes(limit_for(settings.memory_bytes))
        self._budgets = {name: ConnectionBudget(_share(settings, name)) for name in ADDRESS_PARTS}
        self._front_config: ServerConfig | None = None
        self._started_at = float("inf")
        # Pools whose endpoints have stated their slowness.
        self._stating_pools: set[str] = set()
        self._nursery: trio.Nursery | None = None
        random = Random(settings.host)
        self._peer_http = ports.peer_http
        self._shutdown = GracefulShutdown(settings.bounds, settings.times)
        self._cold = ColdEndpoints(self._cold_rule)
        self._endpoint_limits = EndpointLimits(
            self._place_for, self._cold, lambda: self._roster.knows_hosts()
        )
        self._brittle = BrittleEndpoints(self._place_for)
        self._registry = EndpointRegistry(
            settings.zone,
            random,
            self._endpoint_limits,
            self._brittle,
            lambda: self._bounds().drain_s,
            on_slowness=self._note_stating_pool,
            may_lack_orders=lambda: self._maps.may_lack_orders,
        )
        self._retry_budget = FleetRetryBudget(settings.bounds)
        self._paths = EndpointPaths(
            ports.connect,
            ports.connect_host,
            self._helpers,
            self._registry.accepts,
            lambda address: self._connections.drop(address),
            decisions,
            random,
            lambda: int(TUNNEL_DESCRIPTOR_SHARE * self._settings.max_descriptors / 2),
        )
        self._connections = ConnectionPool(_connection_settings(settings), self._paths.connect)
        self._statements = StatementController(
            self._registry.statements,
            self._brittle,
            PeerCalls(self._peer_http, decisions),
            self._paths.peer_of,
            decisions,
        )
        self._store = RelayedStore(
            store,
            self._peer_http,
            self._peers,
            decisions,
            random,
            lambda: self._slices.store_lost(),
            lambda: self._slices.store_returned(),
        )
        incarnation = new_id()
        self._roster = HostRoster(
            _host_entry(settings, incarnation),
            self._store,
            decisions,
            self._apply_roster,
            self._store.pause,
        )
        self._overloaded = OverloadedPools(random, decisions, self._manages_overload)
        self._exchange = ZoneExchange(
            ExchangeState(
                settings.host,
                settings.zone,
                incarnation,
                self._roster.coordinators,
                self._exchange_sections(),
                decisions,
                # Not that of the choices: its numbers must differ after a restart.
                Random(incarnation),
            ),
            ports.bind_datagrams,
            settings.peers_listen,
            decisions,
            Random(incarnation),
        )
        self._slices = ShardedSlices(
            lambda shard: SliceController(
                Allowance(
                    AllowanceSettings(),
                    settings.host,
                    incarnation,
                    settings.peers_listen,
                    settings.zone,
                ),
                self._roster,
                self._store,
                settings.times,
                decisions,
                self._peer_http,
                random,
                self._count_heartbeats,
                ports.wall,
                shard,
                lambda: self._store.lost_everywhere,
            ),
            ReportSender(PeerCalls(self._peer_http, decisions), decisions),
        )
        self._origins = OriginController(
            settings.host,
            self._store,
            self._registry.directory,
            settings.times,
            decisions,
            lambda: self._roster.coordinators.host_count(trio.current_time()),
            self._store.recall_origin,
            lambda: self._store.recall_versions(settings.peers_listen, self._roster.peers),
            lambda: self._directory.refresh(),
            self._store.pause,
            lambda: self._store.lost,
        )
        self._maps = MapFeed(
            self._store,
            settings.times,
            self._bounds,
            decisions,
            self._apply_table,
            self._apply_restoration,
            self._store.recall_map,
            self._store.pause,
            self._apply_evacuations,
            lambda: self._store.in_reach_since,
        )
        self._directory = DirectoryFeed(
            self._store,
            self._registry.directory,
            settings.times,
            self._bounds,
            decisions,
            self._forget_absent_endpoints,
            self._observe_entries,
            self._store.pause,
        )
        self._reports = EndpointReports(
            settings.host,
            self._store,
            settings.times,
            self._bounds,
            decisions,
            self._roster.coordinators.rank,
            self._endpoint_limits,
            self._store.pause,
        )
        self._relay = RelayServer(
            self._store,
            self._maps.snapshot,
            self._directory.snapshot,
            self._roster.snapshot,
            self._origins.known,
            lambda: self._origins.known_versions((settings.peers_listen, *self._roster.peers)),
        )
        self._identities = EndpointIdentities(
            self._connections,
            codec,
            self._registry,
            self._origins,
            lambda: trio.current_time() - self._directory.store_read_at,
            lambda: self._bounds().directory_read_interval_s,
            decisions,
        )
        self._host_load = HostLoad(random)
        self._metrics = EntryMetrics(self._host_load.record_delay)
        self._explainer = PlacementExplainer(
            settings.zone, self._registry, lambda: self._maps.table
        )
        self._load = LoopLoad()
        self._chain = FilterChain(
            (
                RouteFilter(self._maps, random),
                AccountFilter(self._maps),
                DeadlineFilter(),
                ShutdownFilter(self._shutdown),
                CrashingPartFilter(self._reports),
                StreamVersionFilter(self._origins, self._registry, decisions),
                PrepaidFilter(self._slices, decisions, trio.current_time),
                RoomFilter(self._overloaded, decisions, trio.current_time),
                DispatchFilter(
                    codec,
                    self._registry,
                    self._retry_budget,
                    self._identities,
                    self._reports,
                    self._statements,
                    self._origins,
                    self._paths,
                    EventPacing(self._load, lambda: self._bounds().pass_s),
                    decisions,
                    self._overloaded,
                ),
            )
        )
        self._front = HttpFrontend(
            codec,
            self._chain.run,
            lambda: self._limits,
            self._shutdown,
            decisions,
            self._kept,
            self._find_account,
            self._has_route,
            lambda: self._budgets["front"].is_full,
            self._count_request,
            lambda: self._refuses_behind and self._host_load.refuses(),
        )

    @property
    def front(self) -> HttpFrontend:
        """The application that serves callers."""
        return self._front

    @property
    def peers_app(self) -> App:
        """The application that serves the other hosts."""
        routes = (
            *self._relay.routes(),
            *self._slices.routes(),
            *self._statements.routes(),
            *self._explainer.routes(),
        )
        return App(routes, open_room=lambda: BodyRoom(self._kept, PEERS_ACCOUNT))

    def describe_tokens(self, account: str) -> dict[str, int]:
        """Return this host's token counts of an account, by kind."""
        return self._slices.tokens(account)

    @property
    def kept_bytes(self) -> int:
        """Bytes of request bodies that this host keeps."""
        return self._kept.kept

    @property
    def lost_paths(self) -> tuple[str, ...]:
        """Addresses of the endpoints that only other hosts reach."""
        return self._paths.lost

    @property
    def tunnels_served(self) -> int:
        """Number of connections that this host has open for other hosts."""
        return self._paths.serving

    @property
    def refused_parts(self) -> tuple[str, ...]:
        """Prompt parts that are refused because they crash endpoints."""
        return self._reports.refused

    @property
    def ready(self) -> bool:
        """Whether the host is ready to accept callers' connections, as readiness checks report."""
        if self._shutdown.stopping or self._maps.table is None or not self._directory.read:
            return False
        waited_s = trio.current_time() - self._started_at
        return self._slices.ready or waited_s >= SLICES_TIMEOUT_S

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply settings that were read again.

        Name, zone, addresses and intervals stay as they were at the start; a difference in them is
        logged.
        """
        fixed = dataclasses.replace(
            self._settings,
            seeds=settings.seeds,
            beat_s=settings.beat_s,
            bounds=settings.bounds,
            max_descriptors=settings.max_descriptors,
            memory_bytes=settings.memory_bytes,
            manages_overload=settings.manages_overload,
        )
        changed = _differing_fields(self._settings, settings)
        need_restart = _differing_fields(fixed, settings)
        applied = [name for name in changed if name not in need_restart]
        self._settings = fixed
        self._shutdown.apply_bounds(fixed.bounds)
        self._retry_budget.apply_bounds(fixed.bounds)
        self._connections.apply_settings(_connection_settings(fixed))
        self._kept.apply_limit(limit_for(fixed.memory_bytes))
        for name, budget in self._budgets.items():
            budget.apply_share(_share(fixed, name))
        self._decisions.warning("settings applied", applied=applied, need_restart=need_restart)

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set and the requests in flight have ended."""
        self._started_at = trio.current_time()
        trio.lowlevel.add_instrument(self._load)
        self._slices.record_start()
        self._decisions.warning("started", host=self._settings.host, zone=self._settings.zone)
        async with trio.open_nursery() as nursery:
            loops = {
                "route map": self._maps.run,
                "directory": self._directory.run,
                "roster": self._roster.run,
                "slices": self._run_slices,
                "demand reports": self._slices.run_demand_reports,
                "usage reports": self._slices.run_usage_reports,
                "endpoint reports": self._reports.run_reads,
                "own endpoint reports": self._reports.run_appends,
                "stream origins": self._origins.run_start,
                "own stream origins": self._origins.run_appends,
                "paths": self._paths.run,
                "statements": self._statements.run,
                "housekeeping": self._run_housekeeping,
                "metrics": self._metrics.watch_loop,
            }
            self._nursery = nursery
            for step, loop in loops.items():
                nursery.start_soon(keep_running, loop, step, self._decisions)
            if Activation.ON in (self._settings.zone_exchange, self._settings.manages_overload):
                self._start_exchange("settings")
            nursery.start_soon(
                self._serve, self._readiness_app(), "readiness", self._settings.readiness
            )
            if self._settings.peers_listen:
                nursery.start_soon(
                    self._serve, self.peers_app, "peers", self._settings.peers_listen
                )
            if self._tunnel_address:
                nursery.start_soon(keep_running, self._serve_tunnels, "tunnels", self._decisions)
            if self._settings.metrics:
                nursery.start_soon(
                    self._serve, self._metrics_app(), "metrics", self._settings.metrics
                )
            nursery.start_soon(
                self._serve, self._front, "front", self._settings.front, self._set_front_config
            )
            await stop.wait()
            self._decisions.warning("stopping", running=self._shutdown.running)
            self._paths.stop()
            await self._shutdown.run()
            write_until = min(trio.current_time() + FINAL_RECORD_TIMEOUT_S, self._shutdown.end_at)
            with trio.move_on_at(write_until) as last:
                async with trio.open_nursery() as ending:
                    ending.start_soon(self._roster.end)
                    ending.start_soon(self._slices.end)
            if last.cancelled_caught:
                self._decisions.warning("last record not written", step="stop", peer="store")
            await self._shutdown.finish()
            self._decisions.warning("stopped", running=self._shutdown.running)
            nursery.cancel_scope.cancel()

    async def exit_due(self) -> None:
        """Wait until the process has to exit, shortly before it would be killed."""
        await self._shutdown.exit_due()

    async def _serve(
        self, app: Any, name: str, address: str, on_config: Any = lambda config: None
    ) -> None:
        def configure(config: ServerConfig) -> None:
            config.budget = self._budgets[name]
            config.include_date_header = False
            config.keep_alive_max_requests = 2**31
            config.max_fields = MAX_FIELDS
            on_config(config)

        await self._ports.serve_http(app, address, trio.Event(), on_config=configure)

    async def _serve_tunnels(self) -> None:
        await self._ports.serve_pipes(self._serve_tunnel, self._tunnel_address)

    async def _serve_tunnel(self, pipe: CallerPipe) -> None:
        """Serve a connection of another host; it counts as a request, which a stop waits for.

        Connections that ask for nothing are open for a second; beyond the descriptors that tunnels
        may use, further ones are closed at once.
        """
        if self._paths.serving >= TUNNEL_DESCRIPTOR_SHARE * self._settings.max_descriptors:
            pipe.close()
            return
        with self._shutdown.request(), self._shutdown.abortable() as abortable:
            await self._paths.serve(pipe)
        if abortable.cancelled_caught:
            self._decisions.warning("tunnel closed", step="stop", why="this host ends")

    def _readiness_app(self) -> App:
        return App((Route("GET", "/{path:path}", self._answer_readiness),), UNUSED_BODY_BYTES)

    def _metrics_app(self) -> App:
        metrics = Route("GET", "/metrics", self._answer_metrics)
        return App((metrics, *self._explainer.routes()), UNUSED_BODY_BYTES)

    async def _answer_readiness(self, request: Request, responder: Responder) -> Reply:
        return Reply(200 if self.ready else 503)

    async def _answer_metrics(self, request: Request, responder: Responder) -> Reply:
        now = trio.current_time()
        self._metrics.map_age_s.set(now - self._maps.read_at)
        self._metrics.directory_age_s.set(now - self._directory.read_at)
        self._metrics.running.set(self._shutdown.running)
        self._metrics.connections_opened.set(self._connections.opened)
        self._metrics.connections_idle.set(self._connections.idle)
        self._metrics.hosts.set(self._roster.coordinators.host_count(now))
        self._metrics.relayed_calls.set(self._store.relayed)
        self._metrics.store_lost.set(self._store.lost)
        self._metrics.brittle_pools.set(len(self._brittle.pools))
        self._metrics.kept_bytes.set(self._kept.kept)
        self._metrics.bodies_refused.set(self._kept.refused)
        for name, budget in self._budgets.items():
            self._metrics.connections_held_bytes.labels(name).set(budget.held)
            self._metrics.connections_closed_for_room.labels(name).set(budget.closed)
        self._metrics.lost_paths.set(len(self._paths.lost))
        self._metrics.tunnels_served.set(self._paths.serving)
        self._metrics.pending_origins.set(self._origins.pending)
        self._metrics.refused_parts.set(len(self._reports.refused))
        self._metrics.limited_endpoints.set(len(self._endpoint_limits.stated))
        self._metrics.cold_endpoints.set(self._cold.count(now))
        self._metrics.evacuated_zones.set(len(self._registry.evacuated))
        statements = self._registry.statements
        self._metrics.leaving_endpoints.set(len(statements.leaving(now)))
        self._metrics.paused_endpoints.set(len(statements.paused(now)))
        self._metrics.overloaded_pools.set(len(self._overloaded.active))
        self._metrics.waiting.set(self._overloaded.waiting)
        self._metrics.lines_left_out.set(sum(self._decisions.left_out.values()))
        self._metrics.set_exchange(self._exchange.state, now)
        for pool, placer in self._registry.placers.items():
            for zone, share in placer.balance.shares.items():
                self._metrics.leaving_share.labels(pool, zone).set(share)
        for pool in self._retry_budget.pools:
            self._metrics.repeats_left.labels(pool).set(self._retry_budget.left(pool, now))
        if self._front_config is not None:
            self._metrics.set_connections(self._front_config.counts)
        table = self._maps.table
        for account in table.accounts if table else ():
            for of, tokens in self._slices.tokens(account).items():
                self._metrics.tokens.labels(account, of).set(tokens)
        return self._metrics.reply()

    async def _run_slices(self) -> None:
        """Run the slices' loop once route map, directory and roster have been read."""
        while not (self._maps.table and self._directory.read and self._roster.settled):
            await trio.sleep(START_CHECK_INTERVAL_S)
        await self._slices.run()

    async def _run_housekeeping(self) -> None:
        """Close unusable idle connections, and update the number of hosts, until cancelled."""
        while not self._slices.ready:
            await trio.sleep(START_CHECK_INTERVAL_S)
        while True:
            self._maps.note_running()
            self._connections.close_unusable(self._registry.addresses())
            hosts = self._roster.coordinators.host_count(trio.current_time())
            self._retry_budget.set_hosts(hosts)
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _count_heartbeats(self) -> HeartbeatCount:
        """Return the heartbeats accepted by the store, extrapolated since the latest read.

        At most one heartbeat of each endpoint is added.
        """
        count, beat_s = len(self._registry.directory.entries), self._settings.beat_s
        age_s = min(trio.current_time() - self._directory.read_at, beat_s)
        return HeartbeatCount(self._directory.beats + int(count * age_s / beat_s), count, beat_s)

    def _peers(self) -> tuple[str, ...]:
        """Return the addresses of the other hosts, from the roster and the settings."""
        known = {*self._roster.peers, *self._settings.seeds}
        known.discard(self._settings.peers_listen)
        return tuple(sorted(known))

    @property
    def _tunnel_address(self) -> str:
        """Address at which this host opens connections for others; empty for none."""
        return _tunnel_address(self._settings.peers_listen, self._settings.tunnel_port)

    def _exchange_sections(self) -> tuple[Section, ...]:
        """Return what the exchange between the hosts of a zone, and between zones, carries."""
        registry = self._registry
        return (
            LoadSection(
                self._settings.zone,
                lambda: registry.placers,
                lambda: registry.entries_in_use,
                self._log_balance,
                self._log_unreadable_load,
            ),
            ShareSection(self._overloaded, registry.places, self._decisions),
        )

    def _log_balance(self, pool: str, shares: Mapping[str, float]) -> None:
        leaving = {zone: round(share, 3) for zone, share in shares.items()}
        self._decisions.info("zone balance changed", pool=pool, leaving=leaving)

    def _note_stating_pool(self, pool: str) -> None:
        """Note that an endpoint of a pool has stated its slowness."""
        self._stating_pools.add(pool)
        self._start_exchange(f"pool {pool} states its slowness")

    def _log_unreadable_load(self, sender: str, why: str) -> None:
        self._decisions.warning("datagram refused", step="loads", peer=sender, why=why)

    def _start_exchange(self, why: str) -> None:
        """Take part in the exchange from now on, unless the settings switch it off.

        Before, there is neither a port nor a loop, so that nothing differs where no endpoint states
        its slowness.
        """
        is_off = self._settings.zone_exchange is Activation.OFF
        if self._nursery is None or is_off or not self._settings.peers_listen:
            return
        if not self._exchange.started:
            self._exchange.start(why)
            loop = self._exchange.run
            self._nursery.start_soon(keep_running, loop, "zone exchange", self._decisions)

    def _helpers(self) -> list[Helper]:
        """Return the hosts that may open connections for this one."""
        port = self._settings.tunnel_port
        entries = self._roster.coordinators.entries if port else ()
        return [
            Helper(_tunnel_address(entry.peer_address, port), entry.peer_address, entry.cores)
            for entry in entries
            if entry.host != self._settings.host and entry.peer_address
        ]

    def _place_for(self, task: str, zone: str) -> HostPlace:
        """Return this host's place in the order of the active hosts for a task."""
        return self._roster.coordinators.place(task, zone)

    def _manages_overload(self, pool: str) -> bool:
        """Whether requests to a pool wait and are refused by shares while it is overloaded."""
        if pool in self._brittle.pools:
            return False
        match self._settings.manages_overload:
            case Activation.AUTO:
                return pool in self._stating_pools
            case mode:
                return mode is Activation.ON

    @property
    def _refuses_behind(self) -> bool:
        """Whether this host refuses requests that it is too far behind to handle in time."""
        match self._settings.manages_overload:
            case Activation.AUTO:
                return bool(self._stating_pools)
            case mode:
                return mode is Activation.ON

    def _bounds(self) -> FleetRequirements:
        return self._settings.bounds

    def _apply_roster(self) -> None:
        self._slices.update_roles()

    def _apply_table(self, table: RouteTable) -> None:
        self._limits = table.map.limits
        self._slices.apply_route_table(table)
        self._apply_limits()

    def _set_front_config(self, config: ServerConfig) -> None:
        self._front_config = config
        self._apply_limits()

    def _apply_limits(self) -> None:
        if self._front_config is not None:
            self._front_config.keep_alive_timeout = self._limits.idle_timeout_s
            self._front_config.h11_max_incomplete_size = self._limits.max_header_bytes

    def _forget_absent_endpoints(self) -> None:
        self._cold.retain(self._registry.directory.entries)
        self._registry.forget_absent()
        self._origins.observe(self._registry.directory.entries.values())
        self._paths.retain({entry.address for entry in self._registry.directory.entries.values()})

    def _cold_rule(self, pool: str) -> ColdRule | None:
        """Return what a cold endpoint of a pool bears, None if the deployment states no bound."""
        bounds, table = self._bounds(), self._maps.table
        found = table.pool(pool) if table is not None else None
        if found is None or found.cold_per_s <= 0 or bounds.cold_overage <= 0:
            return None
        most_per_s = found.cold_per_s * bounds.cold_overage + bounds.cold_slack
        return ColdRule(found.cold_start_s, found.cold_per_s, most_per_s)

    def _observe_entries(self, entries: Sequence[Entry]) -> None:
        for entry in self._cold.observe(entries, trio.current_time()):
            self._decisions.info("endpoint cold", endpoint=entry.id, stated_s=entry.cold_s)
        self._origins.observe(entries)
        self._identities.observe(entries)

    def _apply_restoration(self) -> None:
        self._slices.store_restored()
        self._origins.store_restored()

    def _apply_evacuations(self, changes: Sequence[EvacuationChange]) -> None:
        self._registry.evacuate(self._maps.evacuated)
        for zone, in_force in changes:
            endpoints = self._registry.endpoints_of(zone)
            running = sum(self._registry.placer(e.pool).in_flight(e.id) for e in endpoints)
            message = "evacuation in force" if in_force else "evacuation ended"
            if not in_force:
                self._cold.note_return(zone, trio.current_time())
            self._decisions.warning(message, of=zone, endpoints=len(endpoints), running=running)

    def _find_account(self, key: str) -> str:
        """Return the name of the client account that owns an API key, empty if there is none."""
        table = self._maps.table
        account = table.find_account(key) if table is not None and key else None
        return account.name if account is not None else ""

    def _has_route(self, host: str, path: str) -> bool:
        table = self._maps.table
        if table is None or not self._maps.is_current:
            return True
        return table.find_route(host, path) is not None

    def _count_request(self, call: EntryCall, outcome: Result[Served, Refusal] | None) -> None:
        self._metrics.count(call, outcome)


def _tunnel_address(peer_address: str, port: int) -> str:
    """Return the address of a host's tunnels, from that at which other hosts call it."""
    return f"{peer_address.rpartition(':')[0]}:{port}" if port and peer_address else ""


def _share(settings: EntrySettings, address: str) -> CallerShare:
    """Return what the connections of one address may use."""
    whole = caller_share(settings.memory_bytes, settings.max_descriptors)
    memory_part, connections_part = ADDRESS_PARTS[address]
    count = max(MIN_CONNECTIONS, int(connections_part * whole.max_connections))
    return CallerShare(int(memory_part * whole.max_bytes), count)


def _host_entry(settings: EntrySettings, incarnation: str) -> HostEntry:
    return HostEntry(
        settings.host, incarnation, 0, settings.zone, settings.peers_listen, settings.cores
    )


def _connection_settings(settings: EntrySettings) -> ConnectionSettings:
    max_idle = int(IDLE_DESCRIPTOR_SHARE * settings.max_descriptors)
    return ConnectionSettings(max_idle_total=max_idle)


def _differing_fields(one: EntrySettings, other: EntrySettings) -> list[str]:
    names = [field.name for field in dataclasses.fields(EntrySettings)]
    return [name for name in names if getattr(one, name) != getattr(other, name)]
