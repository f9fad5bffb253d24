"""What happened in a run: requests and answers, bills, bookings, versions seen."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

import trio

from mulberrycleat.budget import STREAM as LEDGER_STREAM
from mulberrycleat.eventlog import EventLog, read_all
from mulberrycleat.scenario.drivers import Driver
from mulberrycleat.testing.caller import Answer

__all__ = ["Ledger", "Sent", "VersionWatch", "made_bookings", "read_ledger", "standin_stats"]

WATCH_EVERY_S = 0.5


class Sent(NamedTuple):
    """One request and its answer."""

    kind: str
    account: str
    host: str
    key: str
    text: str
    tokens: int
    answer: Answer


class Ledger(NamedTuple):
    """The ledger stream, read without the fleet's own fold.

    Attributes
    ----------
    prepaid : mapping
        Tokens by budget.
    bills : mapping
        Tokens of each bill by budget and request.
    repeated : list of str
        Requests that stand in more than one settlement.
    """

    prepaid: dict[str, int]
    bills: dict[tuple[str, str], int]
    repeated: list[str]

    def spent(self, budget: str) -> int:
        """Return the tokens billed to a budget."""
        return sum(tokens for (name, _), tokens in self.bills.items() if name == budget)


async def read_ledger(event_log: EventLog) -> Ledger:
    """Read top-ups and bills; a repeated record counts once, by its id or sequence number."""
    entries = (await read_all(event_log, LEDGER_STREAM)).unwrap()
    prepaid: Counter[str] = Counter()
    bills: dict[tuple[str, str], int] = {}
    repeated: list[str] = []
    seen: set[Any] = set()
    for entry in entries:
        data = entry.data
        mark = data.get("id") or (data.get("holder"), data.get("seq"))
        if mark in seen:
            continue
        seen.add(mark)
        if data["type"] == "top_up":
            prepaid[data["budget"]] += data["tokens"]
        for bill in data.get("bills", ()):
            key = (bill["budget"], bill["request"])
            if key in bills:
                repeated.append(bill["request"])
            bills[key] = bill["tokens"]
    return Ledger(prepaid, bills, repeated)


async def standin_stats(driver: Driver, name: str) -> dict[str, Any]:
    """Return the counts of a stand-in."""
    url = f"http://{driver.layout.members[name].address}/stats"
    return (await driver.ports.http.send_json("GET", url)).unwrap()


async def made_bookings(driver: Driver) -> Counter[str]:
    """Return how often the plain services made each booking."""
    made: Counter[str] = Counter()
    for member in driver.layout.of_kind("service"):
        made.update((await standin_stats(driver, member.name))["bookings"])
    return made


class VersionWatch:
    """Notes every controller whose manifest went back to an earlier version."""

    def __init__(self, driver: Driver) -> None:
        self._driver = driver
        self._newest: dict[tuple[str, str], int] = {}
        self._reverted: list[str] = []

    @property
    def reverted(self) -> list[str]:
        """What was seen going back."""
        return self._reverted

    async def run(self) -> None:
        """Look at every controller again and again."""
        operator = self._driver.operator()
        while True:
            for host, state in (await operator.statuses()).items():
                self._note(host, state["incarnation"], state["manifest_version"])
            await trio.sleep(WATCH_EVERY_S)

    def _note(self, host: str, incarnation: str, version: int) -> None:
        newest = self._newest.get((host, incarnation), 0)
        if version < newest:
            self._reverted.append(f"{host} went from version {newest} back to {version}")
        self._newest[host, incarnation] = max(newest, version)
