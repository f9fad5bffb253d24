"""Runs the statements of a scenario against a fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

import trio
from result import Ok

from mulberrycleat.manifest import Accepted
from mulberrycleat.scenario import model as m
from mulberrycleat.scenario.drivers import Driver, caller_of
from mulberrycleat.scenario.facts import (
    Sent,
    VersionWatch,
    made_bookings,
    read_ledger,
    standin_stats,
)
from mulberrycleat.scenario.invariants import (
    answer_faults,
    billing_faults,
    booking_faults,
    budget_faults,
)
from mulberrycleat.testing.caller import Answer

__all__ = ["Failure", "run_scenario"]

SETTLE_S = 12.0
STILL_S = 2.0
POLL_S = 0.5
STATEMENT_TIMEOUT_S = 300.0


class Failure(NamedTuple):
    """An expectation or invariant that did not hold; line 0 is for invariants."""

    line: int
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else f"invariant: {self.reason}"


class Ticket:
    """Answers or verdicts that go by one name."""

    def __init__(self) -> None:
        self._results: list[Answer | str] = []
        self._running = 0
        self._done = trio.Event()

    @property
    def results(self) -> list[Answer | str]:
        """In the order in which they were asked for; of a manifest its verdict as a word."""
        return self._results

    def states(self) -> list[str]:
        """Return the state of each result."""
        return [r if isinstance(r, str) else r.outcome for r in self._results]

    def codes(self) -> list[str]:
        """Return the code of each refusal."""
        problems = [r.problem for r in self._results if isinstance(r, Answer)]
        return [p.get("type", "").rpartition(":")[2] for p in problems]

    async def record(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work`, which adds results."""
        self._running += 1
        try:
            await work()
        finally:
            self._running -= 1
            event, self._done = self._done, trio.Event()
            event.set()

    async def wait(self) -> None:
        """Wait until nothing is under way."""
        while self._running:
            await self._done.wait()


async def run_scenario(scenario: m.Scenario, driver: Driver) -> list[Failure]:
    """Run a scenario and return what did not hold."""
    return await _Run(driver).run(scenario)


class _Run:
    def __init__(self, driver: Driver) -> None:
        self._driver = driver
        self._tickets: dict[str, Ticket] = {}
        self._sent: list[Sent] = []
        self._killed: set[str] = set()
        self._faults: dict[str, dict[str, Any]] = {}
        self._remembered: dict[str, dict[str, Any]] = {}
        self._accepted = 0
        self._failures: list[Failure] = []
        self._background: trio.Nursery | None = None

    async def run(self, scenario: m.Scenario) -> list[Failure]:
        watch = VersionWatch(self._driver)
        async with trio.open_nursery() as watching:
            watching.start_soon(watch.run)
            async with trio.open_nursery() as self._background:
                for located in scenario.statements:
                    await self._run_located(located)
            await self._recover()
            await self._check_invariants()
            watching.cancel_scope.cancel()
        self._failures += [Failure(0, reason) for reason in watch.reverted]
        return self._failures

    async def _run_located(self, located: m.Located) -> None:
        if isinstance(located.statement, m.Wait):
            await trio.sleep(located.statement.time_s)
            return
        try:
            with trio.fail_after(STATEMENT_TIMEOUT_S):
                reason = await self._do(located.statement)
        except trio.TooSlowError:
            reason = f"not done in {STATEMENT_TIMEOUT_S:g} s"
        if reason:
            self._failures.append(Failure(located.line, reason))

    async def _do(self, statement: m.Statement) -> str | None:
        match statement:
            case m.Fleet():
                return None
            case m.Concurrently(inner):
                async with trio.open_nursery() as nursery:
                    for located in inner:
                        nursery.start_soon(self._run_located, located)
                return None
            case m.Meanwhile(inner):
                return await self._start(inner)
            case m.Send() | m.Publish() | m.StepBack() as named:
                return await self._ticket(named.name).record(lambda: self._act(named))
            case m.TopUp() as top_up:
                return await self._top_up(top_up)
            case m.WaitReady() | m.WaitInForce():
                return await self._wait(statement)
            case m.Outcomes() | m.Count() | m.Same():
                return await self._expect_outcome(statement)
            case m.Made() | m.Budget() | m.Unchanged():
                return await self._expect_state(statement)
            case _:
                return await self._bring_about(statement)

    async def _start(self, statement: m.Statement) -> None:
        started = trio.Event()

        async def work() -> None:
            started.set()
            await self._do(statement)

        self._background.start_soon(work)
        await started.wait()

    def _ticket(self, name: str) -> Ticket:
        return self._tickets.setdefault(name, Ticket())

    async def _act(self, statement: m.Send | m.Publish | m.StepBack) -> None:
        match statement:
            case m.Send():
                await self._send_all(statement)
            case m.Publish():
                await self._publish(statement)
            case m.StepBack(name):
                self._note_verdict(name, await self._driver.operator().step_back())

    async def _send_all(self, send: m.Send) -> None:
        ticket = self._ticket(send.name)
        first = len(ticket.results)
        async with trio.open_nursery() as nursery:
            for number in range(send.count):
                ticket.results.append("pending")
                if send.every_s:
                    nursery.start_soon(self._send_one, send, number, first + number)
                    await trio.sleep(send.every_s)
                else:
                    await self._send_one(send, number, first + number)

    async def _send_one(self, send: m.Send, number: int, place: int) -> None:
        mark = f" {number + 1}" if number else ""
        text, key = send.text + mark, (send.key or send.name) + mark.replace(" ", "-")
        caller = caller_of(self._driver, send.account)
        members = self._driver.layout.members
        address = members[f"router-{send.host}"].address
        if send.kind == "question":
            model = send.model or self._driver.layout.models[0]
            answer = await caller.chat(address, model, text, send.tokens)
            key = ""
        else:
            pool = send.pool or self._driver.layout.services[0]
            answer = await caller.book(address, pool, "slots", key, {"for": key})
        self._ticket(send.name).results[place] = answer
        self._sent.append(Sent(send.kind, send.account, send.host, key, text, send.tokens, answer))

    async def _publish(self, publish: m.Publish) -> None:
        plans = [{"endpoint": name, "action": "drain"} for name in publish.draining]
        content = self._driver.layout.manifest(plans=plans)
        operator = self._driver.operator(publish.operator, publish.zone)
        self._note_verdict(publish.name, await operator.publish(content, publish.base))

    def _note_verdict(self, name: str, outcome: Any) -> None:
        match outcome:
            case Ok(Accepted(version)):
                self._accepted = max(self._accepted, version)
                self._ticket(name).results.append("accepted")
            case Ok(_):
                self._ticket(name).results.append("refused")
            case _:
                self._ticket(name).results.append("broken")

    async def _top_up(self, top_up: m.TopUp) -> str | None:
        operator = self._driver.operator(zone=top_up.zone)
        outcome = await operator.top_up(top_up.budget, top_up.tokens, top_up.payment)
        return None if outcome.is_ok() else f"top-up failed: {outcome.err_value}"

    async def _wait(self, statement: m.WaitReady | m.WaitInForce) -> str | None:
        match statement:
            case m.WaitReady(target):
                for member in self._driver.layout.of_kind("router"):
                    if target in ("", member.host, member.zone):
                        await self._until_ready(member.address)
            case m.WaitInForce(targets):
                await self._until_in_force(targets)
        return None

    async def _until_ready(self, address: str) -> None:
        url = f"http://{address}/readyz"
        while True:
            match await self._driver.ports.http.request("GET", url):
                case Ok(answer) if answer.status == 200:
                    return
            await trio.sleep(POLL_S)

    async def _until_in_force(self, targets: tuple[str, ...]) -> None:
        members = self._driver.layout.of_kind("controller")
        hosts = {m.host for m in members if not targets or {m.host, m.zone} & set(targets)}
        operator = self._driver.operator()
        while True:
            states = await operator.statuses()
            versions = [states[host]["manifest_version"] for host in hosts if host in states]
            if len(versions) == len(hosts) and min(versions) >= self._accepted:
                return
            await trio.sleep(POLL_S)

    async def _bring_about(self, statement: m.Statement) -> str | None:
        match statement:
            case m.Change("outage" | "restore" as action, target):
                await self._set_faults(target, down=action == "outage")
            case m.Change(action, target):
                if action == "kill":
                    self._killed |= self._hosts(target)
                await self._driver.change(action, target)
            case m.Cut(one, other):
                await self._driver.cut(one, other)
            case m.Heal(one, other):
                await self._driver.heal(one, other)
            case m.Slow(one, other, delay_s):
                await self._driver.slow(one, other, delay_s)
            case m.Lose(count, target):
                await self._set_faults(target, lose_answers=count)
                del self._faults[target]["lose_answers"]
            case m.Break(target, tokens):
                await self._set_faults(target, truncate_after=tokens)
            case m.Remember(target):
                self._remembered[target] = await standin_stats(self._driver, target)
        return None

    def _hosts(self, place: str) -> set[str]:
        members = self._driver.layout.members.values()
        return {m.host for m in members if place in (m.name, m.host, m.zone)}

    async def _set_faults(self, name: str, **changes: Any) -> None:
        faults = self._faults.setdefault(name, {})
        faults |= changes
        url = f"http://{self._driver.layout.members[name].address}/faults"
        (await self._driver.ports.http.send_json("PUT", url, faults)).unwrap()

    async def _expect_outcome(self, statement: m.Outcomes | m.Count | m.Same) -> str | None:
        match statement:
            case m.Outcomes(name, state, code):
                ticket = await self._finished(name)
                states, codes = ticket.states(), ticket.codes()
                if set(states) != {state} or (code and set(codes) != {code}):
                    return f"expected {name} {_spoken(state)} {code}, got {_tally(states, codes)}"
            case m.Count(bound, names, state):
                states = [s for name in names for s in (await self._finished(name)).states()]
                if not bound.holds(states.count(state)):
                    wanted = f"{bound} of {' '.join(names)} {_spoken(state)}"
                    return f"expected {wanted}, got {_tally(states, [])}"
            case m.Same(name, other):
                one, two = await self._finished(name), await self._finished(other)
                bodies = [_body(ticket) for ticket in (one, two)]
                if bodies[0] != bodies[1]:
                    return f"expected {name} same as {other}, got {bodies[0]!r} and {bodies[1]!r}"
        return None

    async def _finished(self, name: str) -> Ticket:
        ticket = self._ticket(name)
        await ticket.wait()
        return ticket

    async def _expect_state(self, statement: m.Made | m.Budget | m.Unchanged) -> str | None:
        match statement:
            case m.Made(key, bound):
                made = (await made_bookings(self._driver))[key]
                return None if bound.holds(made) else f"booking {key!r} was made {made} times"
            case m.Unchanged(target):
                now, before = await standin_stats(self._driver, target), self._remembered[target]
                return None if now == before else f"{target}: {before} became {now}"
            case m.Budget():
                return await self._expect_budget(statement)

    async def _expect_budget(self, expected: m.Budget) -> str | None:
        values = await self._settled_values(expected)
        if values and all(map(expected.bound.holds, values.values())):
            return None
        return f"{expected.field} of {expected.budget}: {values}, not {expected.bound}"

    async def _settled_values(self, expected: m.Budget) -> dict[str, int]:
        """Return a number of a budget by host, once it has stood still."""
        values: dict[str, int] = {}
        still_since = started = trio.current_time()
        while trio.current_time() < min(still_since + STILL_S, started + SETTLE_S):
            states = await self._driver.operator().statuses()
            found = {host: _number(state, expected) for host, state in states.items()}
            if found != values:
                values, still_since = found, trio.current_time()
            await trio.sleep(POLL_S)
        return values

    async def _recover(self) -> None:
        await self._driver.recover()
        for name, faults in self._faults.items():
            if any(faults.values()):
                await self._set_faults(name, **dict.fromkeys(faults, 0) | {"down": False})

    async def _check_invariants(self) -> None:
        deadline = trio.current_time() + SETTLE_S
        while True:
            faults = [reason async for reason in self._invariant_faults()]
            if not faults or trio.current_time() > deadline:
                break
            await trio.sleep(POLL_S)
        self._failures += [Failure(0, reason) for reason in faults]

    async def _invariant_faults(self) -> Any:
        ledger = await read_ledger(self._driver.operator().event_log)
        made = await made_bookings(self._driver)
        checks: tuple[Iterator[str], ...] = (
            budget_faults(ledger),
            billing_faults(ledger, self._sent, self._killed),
            booking_faults(made, self._sent),
            answer_faults(self._sent),
        )
        for check in checks:
            for reason in check:
                yield reason


def _number(state: dict[str, Any], expected: m.Budget) -> int:
    return state["budgets"].get(expected.budget, {}).get(expected.field, 0)


def _spoken(state: str) -> str:
    return state.replace("_", " ")


def _tally(states: list[str], codes: list[str]) -> str:
    counts = [f"{number} {_spoken(state)}" for state, number in Counter(states).items()]
    known = sorted({code for code in codes if code})
    return ", ".join(counts) + (f" ({', '.join(known)})" if known else "")


def _body(ticket: Ticket) -> list[bytes | str]:
    return [r if isinstance(r, str) else r.body for r in ticket.results]
