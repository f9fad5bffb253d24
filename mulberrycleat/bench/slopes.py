"""``bin/bench slopes``: cost of each unit of state or work, for docs/CAPACITY.md."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import click
import msgspec
import trio
import trio_asyncio

from mulberrycleat.bench.loopback import free_address, run_standin_process
from mulberrycleat.budget import Bill, Join, Ledger, Settle, TopUp
from mulberrycleat.controller import messages as m
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.manifest import check_manifest
from mulberrycleat.once import Intent, OnceState, Outcome
from mulberrycleat.rpc import RpcClient, serve_rpc
from mulberrycleat.settings import PlatformSettings
from mulberrycleat.web import HttpClient

__all__ = ["command"]

FLEET_KEY = "bench"
BUDGETS = 20_000
HOLDERS_PER_BUDGET = 6
BILLS_PER_SETTLEMENT = 20
KEYS = 20_000
CALLS = 1_000
APPENDS = 300
US_PER_S = 1_000_000
MS_PER_S = 1_000


class Slope(NamedTuple):
    """One measured slope (cost per unit): name, value, unit, and description of the sample."""

    name: str
    value: float
    unit: str
    sample: str


@click.command()
def command() -> None:
    """Measure the cost of budgets, idempotency keys, calls, appends and manifest entries."""
    slopes = [*ledger_slopes(), *once_slopes(), *manifest_slopes()]
    slopes += trio_asyncio.run(rpc_slopes)
    slopes += log_slopes()
    for slope in slopes:
        click.echo(f"{slope.name:<32}{slope.value:>12.2f} {slope.unit:<16}{slope.sample}")
    click.echo(json.dumps({slope.name: round(slope.value, 3) for slope in slopes}))


def ledger_slopes() -> list[Slope]:
    """Return memory per budget, processor time per folded record and bill, and bytes per bill."""
    records = _make_ledger_records()
    held, bytes_held = _measure_memory(lambda: _fold(Ledger(), _make_ledger_records()))
    seconds = _measure_processor_time(lambda: _fold(Ledger(), records))
    settle = _make_settlement()
    bytes_per_bill = len(msgspec.json.encode(settle)) / BILLS_PER_SETTLEMENT
    sample = f"{BUDGETS} budgets, {HOLDERS_PER_BUDGET} holders each"
    return [
        Slope("ledger_bytes_per_budget", bytes_held / len(held.budgets), "bytes", sample),
        Slope(
            "ledger_us_per_record",
            seconds / len(records) * US_PER_S,
            "us",
            f"{len(records)} records",
        ),
        Slope(
            "ledger_us_per_bill",
            _seconds_per_bill() * US_PER_S,
            "us",
            "bills in settlements of 20 each",
        ),
        Slope(
            "ledger_wire_bytes_per_bill",
            bytes_per_bill,
            "bytes",
            "a settlement of 20 bills as JSON",
        ),
    ]


def once_slopes() -> list[Slope]:
    """Return the memory of a non-idempotent key and the processor time to fold its records."""
    records = _make_once_records()
    _, bytes_held = _measure_memory(lambda: _fold(OnceState(), _make_once_records()))
    seconds = _measure_processor_time(lambda: _fold(OnceState(), records))
    return [
        Slope("once_bytes_per_key", bytes_held / KEYS, "bytes", f"{KEYS} keys with answers"),
        Slope(
            "once_us_per_record", seconds / len(records) * US_PER_S, "us", f"{len(records)} records"
        ),
    ]


def manifest_slopes() -> list[Slope]:
    """Return the memory, processor time to check, and encoded size of a budget in a manifest."""
    content = _make_manifest_content(BUDGETS)
    _, bytes_held = _measure_memory(lambda: check_manifest(content).unwrap())
    seconds = _measure_processor_time(lambda: check_manifest(content).unwrap())
    wire_bytes = len(msgspec.json.encode(content)) / BUDGETS
    sample = f"{BUDGETS} budgets, one key each"
    return [
        Slope("manifest_bytes_per_budget", bytes_held / BUDGETS, "bytes", sample),
        Slope("manifest_us_per_budget_checked", seconds / BUDGETS * US_PER_S, "us", sample),
        Slope("manifest_wire_bytes_per_budget", wire_bytes, "bytes", sample),
    ]


async def rpc_slopes() -> list[Slope]:
    """Return the processor time of one RPC call; client and server both run in this process."""

    async def answer(request: m.ReserveRequest) -> m.ReserveReply:
        return m.ReserveReply(True)

    address = free_address()
    client = RpcClient(address, FLEET_KEY)
    request = m.ReserveRequest("a1/7f", "r" * 20, "huts", 500)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_rpc, {m.RESERVE: answer}, address, FLEET_KEY)
        seconds = await _measure_processor_time_per_call(
            CALLS, lambda: client.call(m.RESERVE, request, timeout_s=5.0)
        )
        client.close()
        nursery.cancel_scope.cancel()
    return [Slope("rpc_ms_per_call", seconds * MS_PER_S, "ms, both sides", f"{CALLS} calls")]


def log_slopes() -> list[Slope]:
    """Return the processor time of the host's side of one append to and one read from the log.

    The log is a stand-in in a process of its own, which is not counted.
    """
    with run_standin_process("log", appends_per_s=1e6) as address:
        return trio.run(_measure_log, address)


async def _measure_log(address: str) -> list[Slope]:
    client = HttpClient()
    event_log = HttpEventLog(PlatformSettings(log=address), client)
    record = msgspec.to_builtins(_make_settlement())
    append_s = await _measure_processor_time_per_call(
        APPENDS, lambda: event_log.append("bench", (record,))
    )
    read_s = await _measure_processor_time_per_call(
        APPENDS, lambda: event_log.read("bench", APPENDS - 1)
    )
    await client.aclose()
    sample = f"{APPENDS} requests, host's side"
    return [
        Slope("log_append_ms", append_s * MS_PER_S, "ms", sample),
        Slope("log_read_ms", read_s * MS_PER_S, "ms", sample),
    ]


def _fold(state: Any, records: list[Any]) -> Any:
    for record in records:
        state.apply(record)
    return state


def _make_ledger_records() -> list[Any]:
    holders = [f"host-{holder}/7f" for holder in range(HOLDERS_PER_BUDGET)]
    records: list[Any] = [Join(holder, "zone-a") for holder in holders]
    for number in range(BUDGETS):
        name = f"budget-{number}"
        records.append(TopUp(f"t{number}", name, 1_000_000))
        for holder in holders:
            records.append(Settle(holder, number + 1, claims={name: 10_000}))
    return records


def _make_settlement() -> Settle:
    bills = [Bill(f"{number:020x}", "budget-1234", 740) for number in range(BILLS_PER_SETTLEMENT)]
    return Settle("zone-a-12/7f7f7f7f7f7f7f7f7f7f", 1, tuple(bills))


def _seconds_per_bill() -> float:
    """Return the processor time to fold one bill, in seconds."""
    count = 2_000
    bills = _make_settlement().bills
    ledger = Ledger()
    ledger.apply(Join("host-1/7f", "zone-a"))
    records = [Settle("host-1/7f", seq, bills) for seq in range(1, count + 1)]
    return _measure_processor_time(lambda: _fold(ledger, records)) / (count * BILLS_PER_SETTLEMENT)


def _make_once_records() -> list[Any]:
    return [record for number in range(KEYS) for record in _make_key_records(number)]


def _make_key_records(number: int) -> tuple[Any, Any]:
    key = f"account-{number % 290}:order-{number}"
    intent = Intent(f"{number:020x}", key, "d" * 64, "zone-a-12/7f")
    outcome = Outcome(f"{number:020x}", key, 200, "application/json", '{"booking": 1234567}')
    return intent, outcome


def _make_manifest_content(count: int) -> dict[str, Any]:
    accounts = [
        {
            "name": f"account-{number}",
            "keys": [{"sha256": f"{number:064x}", "budget": f"budget-{number}"}],
        }
        for number in range(count)
    ]
    budgets = [{"name": f"budget-{n}", "account": f"account-{n}"} for n in range(count)]
    return {"accounts": accounts, "budgets": budgets}


def _measure_memory(make: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of `make` and the memory that it still occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, size


def _measure_processor_time(work: Callable[[], Any]) -> float:
    """Return the processor time of one call of `work`, in seconds."""
    started = time.process_time()
    work()
    return time.process_time() - started


async def _measure_processor_time_per_call(count: int, work: Callable[[], Awaitable[Any]]) -> float:
    """Return the processor time of one call of `work`, in seconds, after a short warm-up."""
    for _ in range(count // 10):
        (await work()).unwrap()
    started = time.process_time()
    for _ in range(count):
        (await work()).unwrap()
    return (time.process_time() - started) / count
