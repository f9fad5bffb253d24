"""Formulas of the rows of docs/CAPACITY.md, and their evaluation."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["SIZE", "Row", "all_rows"]

MB = 1e6
KB = 1e3


class Size(NamedTuple):
    """Design size of the fleet, its settings, and bounds.

    ``control_core``, ``control_mb`` and ``control_kb_per_s`` are bounds of rows, in cores, MB and
    KB/s.
    """

    nodes: int = 370
    servers: int = 2_800
    requests_per_s: int = 5_400
    tokens_per_s: int = 1_500_000
    budgets: int = 230_000
    zones: int = 6
    changes_per_day: int = 6_000
    choices_per_request: int = 2
    restarts_per_day: int = 450
    records_per_restart: int = 510
    checkpoint_every_s: float = 60.0
    seconds_per_day: int = 86_400
    shards: int = 64
    holders_per_budget: int = 6
    settle_every_s: float = 5.0
    rpc_per_s_batched: float = 5.0
    retained_keys: int = 200_000
    bytes_per_mib: int = 1_048_576
    control_core: float = 0.025
    control_mb: float = 64.0
    control_kb_per_s: float = 25.0


SIZE = Size()


class Row(NamedTuple):
    """One row of a table.

    `arithmetic` is the formula with numbers in place of the names; `value` is None if a slope in
    the formula is not measured.
    """

    role: str
    what: str
    arithmetic: str
    value: float | None
    unit: str
    bound: float | None
    mechanism: str

    @property
    def is_over(self) -> bool:
        """Whether the value exceeds its bound."""
        return self.bound is not None and self.value is not None and self.value > self.bound


class Formula(NamedTuple):
    """Formula of a row; `text` is a sum of products and quotients of sizes and slopes.

    In `text`, ``size.NAME`` is a field of :class:`Size`; ``BENCH.NAME`` is a measured slope.
    """

    role: str
    what: str
    text: str
    unit: str
    bound: float | None
    mechanism: str


NAME_PATTERN = re.compile(r"[a-z_]+\.[a-z_0-9]+")


def all_rows(slopes: Mapping[str, float]) -> dict[str, tuple[Row, ...]]:
    """Return the rows of each table, by the name of the table."""
    return {name: tuple(_evaluate_row(f, slopes) for f in part) for name, part in FORMULAS.items()}


def _evaluate_row(formula: Formula, slopes: Mapping[str, float]) -> Row:
    values = {f"size.{name}": float(value) for name, value in SIZE._asdict().items()} | dict(slopes)
    names = NAME_PATTERN.findall(formula.text)
    value = None
    if all(name in values for name in names):
        value = _evaluate(NAME_PATTERN.sub(lambda match: repr(values[match[0]]), formula.text))
    arithmetic = NAME_PATTERN.sub(lambda match: _format_operand(match[0], values), formula.text)
    return Row(
        formula.role,
        formula.what,
        arithmetic,
        value,
        formula.unit,
        formula.bound,
        formula.mechanism,
    )


def _format_operand(name: str, values: Mapping[str, float]) -> str:
    number = f"{values[name]:,.4g}" if name in values else "?"
    return f"{number} ({name.replace('size.', '').replace('_', ' ')})"


def _evaluate(text: str) -> float:
    """Return the value of a sum of products written with numbers, ``*``, ``/`` and ``+``.

    >>> _evaluate("2.0 * 3.0 / 4.0 + 1.0")
    2.5
    """
    total = 0.0
    for term in text.split(" + "):
        parts = re.split(r" ([*/]) ", term.strip())
        value = float(parts[0])
        for operator, number in zip(parts[1::2], parts[2::2], strict=True):
            value = value * float(number) if operator == "*" else value / float(number)
        total += value
    return total


ROUTER = (
    Formula(
        "router",
        "requests",
        "size.requests_per_s / size.nodes * stream.cpu_ms_per_request / 1000",
        "cores",
        None,
        "the platform's balancer spreads callers; data path, not control",
    ),
    Formula(
        "router",
        "streamed tokens",
        "size.tokens_per_s / size.nodes * stream.cpu_us_per_token / 1000000",
        "cores",
        None,
        "one event at a time; a process has one core, so a host needs several routers: not built",
    ),
    Formula(
        "router",
        "choice of an endpoint among 127",
        "size.requests_per_s / size.nodes * size.choices_per_request "
        "* choice_cost.choice_us_127_endpoints / 1000000",
        "cores",
        None,
        "at most 24 endpoints of a pool are compared; data path, not control",
    ),
    Formula(
        "router",
        "memory at start",
        "footprint.router_mb",
        "MB",
        SIZE.control_mb,
        "one process a host",
    ),
    Formula(
        "router",
        "memory with every budget's key",
        "footprint.router_mb + size.budgets * slopes.manifest_bytes_per_budget / 1000000",
        "MB",
        SIZE.control_mb,
        "keys would be looked up at the budget's home host and cached; not built",
    ),
)

CONTROLLER = (
    Formula(
        "host",
        "all control, idle, of 60 hosts in 3 zones",
        "manifest.core_percent_idle / 100",
        "cores",
        SIZE.control_core,
        "few calls a second whatever the number of hosts; reports from three peers a second",
    ),
    Formula(
        "host",
        "bytes to peers and platform, of 60 hosts in 3 zones",
        "manifest.bytes_per_host_s / 1000",
        "KB/s",
        SIZE.control_kb_per_s,
        "one reader of the log a zone; a record carries what changed",
    ),
    Formula(
        "host",
        "publish to in force, 60 hosts",
        "manifest.in_force_s_max_many",
        "s",
        7.0,
        "the reader tells its zone; others catch up by version",
    ),
    Formula(
        "controller",
        "manifest of every budget",
        "manifest_size.resident_mib * size.bytes_per_mib / 1000000",
        "MB",
        SIZE.control_mb,
        "would be sharded like the ledger; not built",
    ),
    Formula(
        "controller",
        "start from a checkpoint of the whole manifest",
        "manifest_size.snapshot_decode_s",
        "s",
        None,
        "450 restarts a day; a peer's state in place of the log's where one answers",
    ),
    Formula(
        "controller",
        "start from a checkpoint of the home shards' ledger",
        "size.budgets / size.nodes * size.zones * slopes.ledger_us_per_record / 1000000",
        "s",
        None,
        "450 restarts a day; checkpoints well inside the retention",
    ),
    Formula(
        "controller",
        "memory at start",
        "footprint.controller_mb",
        "MB",
        SIZE.control_mb,
        "one process a host",
    ),
    Formula(
        "controller",
        "ledger in memory, all budgets",
        "size.budgets * slopes.ledger_bytes_per_budget / 1000000",
        "MB",
        SIZE.control_mb,
        "carried only with shards, next row",
    ),
    Formula(
        "controller",
        "ledger in memory, home shards only",
        "size.budgets / size.shards * size.shards * size.zones / size.nodes "
        "* slopes.ledger_bytes_per_budget / 1000000",
        "MB",
        SIZE.control_mb,
        "a stream a shard; each shard has one home host in each zone",
    ),
    Formula(
        "controller",
        "fold of bills, home shards only",
        "size.requests_per_s * size.zones / size.nodes * slopes.ledger_us_per_bill / 1000000",
        "cores",
        SIZE.control_core,
        "settlements are batched, one record a holder and period",
    ),
    Formula(
        "controller",
        "calls from its router",
        "size.requests_per_s / size.nodes * slopes.rpc_ms_per_call / 1000 "
        "+ size.rpc_per_s_batched * slopes.rpc_ms_per_call / 1000",
        "cores",
        SIZE.control_core,
        "one Reserve a request, settlements in batches; both sides counted",
    ),
    Formula(
        "controller",
        "reads of the ledger, home shards only",
        "size.requests_per_s * slopes.ledger_wire_bytes_per_bill * size.zones / size.nodes / 1000",
        "KB/s",
        SIZE.control_kb_per_s,
        "one reader of a shard in each zone",
    ),
    Formula(
        "controller",
        "manifest changes",
        "size.changes_per_day / size.seconds_per_day "
        "* slopes.manifest_wire_bytes_per_budget / 1000",
        "KB/s",
        SIZE.control_kb_per_s,
        "a record carries what changed",
    ),
    Formula(
        "controller",
        "non-idempotent keys in memory",
        "size.retained_keys / size.shards * slopes.once_bytes_per_key / 1000000",
        "MB",
        SIZE.control_mb,
        "keys expire; a stream a shard",
    ),
)

LOG = (
    Formula(
        "log",
        "settlements",
        "size.nodes / size.settle_every_s",
        "appends/s",
        300.0,
        "one settlement in flight a holder; the period grows with the hosts",
    ),
    Formula(
        "log",
        "bytes of bills",
        "size.requests_per_s * slopes.ledger_wire_bytes_per_bill / 1000",
        "KB/s",
        None,
        "spread over the shards",
    ),
    Formula(
        "log",
        "a host's processor time for its appends",
        "slopes.log_append_ms / size.settle_every_s / 1000",
        "cores",
        SIZE.control_core,
        "batched",
    ),
    Formula(
        "log",
        "leaving and joining holders",
        "size.restarts_per_day * size.records_per_restart / size.seconds_per_day",
        "appends/s",
        300.0,
        "a holder joins, is fenced, and each endpoint of its fence confirms",
    ),
    Formula(
        "log",
        "checkpoints of the ledger",
        "size.shards / size.checkpoint_every_s",
        "appends/s",
        300.0,
        "one a shard and period, by whichever host first sees none",
    ),
    Formula(
        "log",
        "manifest changes",
        "size.changes_per_day / size.seconds_per_day",
        "appends/s",
        300.0,
        "one record a change",
    ),
)

FORMULAS = {"router": ROUTER, "controller": CONTROLLER, "log": LOG}
