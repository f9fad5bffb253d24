"""Observations of a run: requests and answers, bills, bookings, manifest versions."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

import trio

from mulberrycleat.budget import STREAM as LEDGER_STREAM
from mulberrycleat.eventlog import EventLog, read_all
from mulberrycleat.scenario.drivers import Driver
from mulberrycleat.testing.caller import Answer

__all__ = [
    "Ledger",
    "SentRequest",
    "VersionMonitor",
    "booking_counts",
    "read_ledger",
    "standin_stats",
]

POLL_INTERVAL_S = 0.5


class SentRequest(NamedTuple):
    """One request and its answer.

    Attributes
    ----------
    kind : str
        ``question`` or ``booking``.
    host : str
        Entry host whose router got the request.
    key : str
        Idempotency key of a booking; empty for a question.
    text : str
        Text of the question.
    tokens : int
        Maximum number of tokens to generate for a question.
    """

    kind: str
    account: str
    host: str
    key: str
    text: str
    tokens: int
    answer: Answer


class Ledger(NamedTuple):
    """Content of the ledger stream, computed without the fleet's own code for replaying it.

    Attributes
    ----------
    prepaid : mapping
        Prepaid tokens by budget.
    bills : mapping
        Billed tokens by budget and request.
    billed_twice : list of str
        Requests with more than one bill.
    """

    prepaid: dict[str, int]
    bills: dict[tuple[str, str], int]
    billed_twice: list[str]

    def spent(self, budget: str) -> int:
        """Return the tokens billed to a budget."""
        return sum(tokens for (name, _), tokens in self.bills.items() if name == budget)


async def read_ledger(event_log: EventLog) -> Ledger:
    """Read top-ups and bills; skip records with a known ID, or known holder and ``seq``."""
    entries = (await read_all(event_log, LEDGER_STREAM)).unwrap()
    prepaid: Counter[str] = Counter()
    bills: dict[tuple[str, str], int] = {}
    billed_twice: list[str] = []
    seen: set[Any] = set()
    for entry in entries:
        data = entry.data
        record_id = data.get("id") or (data.get("holder"), data.get("seq"))
        if record_id in seen:
            continue
        seen.add(record_id)
        if data["type"] == "top_up":
            prepaid[data["budget"]] += data["tokens"]
        for bill in data.get("bills", ()):
            key = (bill["budget"], bill["request"])
            if key in bills:
                billed_twice.append(bill["request"])
            bills[key] = bill["tokens"]
    return Ledger(prepaid, bills, billed_twice)


async def standin_stats(driver: Driver, name: str) -> dict[str, Any]:
    """Return the counts that a stand-in reports at ``/stats``."""
    url = f"http://{driver.layout.members[name].address}/stats"
    return (await driver.ports.http.send_json("GET", url)).unwrap()


async def booking_counts(driver: Driver) -> Counter[str]:
    """Return how often all plain services together made each booking, by idempotency key."""
    counts: Counter[str] = Counter()
    for member in driver.layout.of_kind("service"):
        counts.update((await standin_stats(driver, member.name))["bookings"])
    return counts


class VersionMonitor:
    """Records each time a controller's manifest version decreases within one incarnation."""

    def __init__(self, driver: Driver) -> None:
        self._driver = driver
        self._newest: dict[tuple[str, str], int] = {}
        self._reversions: list[str] = []

    @property
    def reversions(self) -> list[str]:
        """A description of each decrease."""
        return self._reversions

    async def run(self) -> None:
        """Poll the manifest version of every controller until cancelled."""
        operator = self._driver.operator()
        while True:
            for host, state in (await operator.statuses()).items():
                self._record_version(host, state["incarnation"], state["manifest_version"])
            await trio.sleep(POLL_INTERVAL_S)

    def _record_version(self, host: str, incarnation: str, version: int) -> None:
        newest = self._newest.get((host, incarnation), 0)
        if version < newest:
            self._reversions.append(f"{host} went from version {newest} back to {version}")
        self._newest[host, incarnation] = max(newest, version)
