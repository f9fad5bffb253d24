"""Interpreter of scenarios: executes their statements against a fleet."""

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
    SentRequest,
    VersionMonitor,
    booking_counts,
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

SETTLE_TIMEOUT_S = 12.0
STABLE_S = 2.0
POLL_INTERVAL_S = 0.5
STATEMENT_TIMEOUT_S = 300.0


class Failure(NamedTuple):
    """An expectation or invariant that did not hold; invariants have line 0."""

    line: int
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else f"invariant: {self.reason}"


class NamedResults:
    """Answers or verdicts of all requests or manifests with the same name."""

    def __init__(self) -> None:
        self._results: list[Answer | str] = []
        self._active_count = 0
        self._done = trio.Event()

    @property
    def results(self) -> list[Answer | str]:
        """Results in request order: an answer, or a manifest's verdict as a string."""
        return self._results

    def states(self) -> list[str]:
        """Return the state of each result, in the same order."""
        return [r if isinstance(r, str) else r.outcome for r in self._results]

    def codes(self) -> list[str]:
        """Return the problem code of each answer, empty for answers without one."""
        problems = [r.problem for r in self._results if isinstance(r, Answer)]
        return [p.get("type", "").rpartition(":")[2] for p in problems]

    async def record(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work`, which adds results; :meth:`wait` blocks until it has returned."""
        self._active_count += 1
        try:
            await work()
        finally:
            self._active_count -= 1
            event, self._done = self._done, trio.Event()
            event.set()

    async def wait(self) -> None:
        """Wait until no work that adds results is running."""
        while self._active_count:
            await self._done.wait()


async def run_scenario(scenario: m.Scenario, driver: Driver) -> list[Failure]:
    """Run a scenario and return its failed expectations and invariants."""
    return await _ScenarioRun(driver).run(scenario)


class _ScenarioRun:
    def __init__(self, driver: Driver) -> None:
        self._driver = driver
        self._results_by_name: dict[str, NamedResults] = {}
        self._sent: list[SentRequest] = []
        self._hosts_with_kills: set[str] = set()
        self._faults: dict[str, dict[str, Any]] = {}
        self._remembered: dict[str, dict[str, Any]] = {}
        self._newest_accepted = 0
        self._failures: list[Failure] = []
        self._background: trio.Nursery | None = None

    async def run(self, scenario: m.Scenario) -> list[Failure]:
        version_monitor = VersionMonitor(self._driver)
        async with trio.open_nursery() as monitor_nursery:
            monitor_nursery.start_soon(version_monitor.run)
            async with trio.open_nursery() as self._background:
                for located in scenario.statements:
                    await self._run_statement(located)
            await self._recover()
            await self._check_invariants()
            monitor_nursery.cancel_scope.cancel()
        self._failures += [Failure(0, reason) for reason in version_monitor.reversions]
        return self._failures

    async def _run_statement(self, located: m.Located) -> None:
        if isinstance(located.statement, m.Wait):
            await trio.sleep(located.statement.time_s)
            return
        try:
            with trio.fail_after(STATEMENT_TIMEOUT_S):
                reason = await self._execute(located.statement)
        except trio.TooSlowError:
            reason = f"statement not done after {STATEMENT_TIMEOUT_S:g} s"
        if reason:
            self._failures.append(Failure(located.line, reason))

    async def _execute(self, statement: m.Statement) -> str | None:
        match statement:
            case m.Fleet():
                return None
            case m.Concurrently(inner):
                async with trio.open_nursery() as nursery:
                    for located in inner:
                        nursery.start_soon(self._run_statement, located)
                return None
            case m.Meanwhile(inner):
                return await self._start_in_background(inner)
            case m.Send() | m.Publish() | m.StepBack() as named:
                return await self._results_of(named.name).record(lambda: self._execute_named(named))
            case m.TopUp() as top_up:
                return await self._top_up(top_up)
            case m.WaitReady() | m.WaitInForce():
                return await self._wait(statement)
            case m.ExpectOutcome() | m.ExpectOutcomeCount() | m.ExpectSameAnswer():
                return await self._expect_outcome(statement)
            case m.ExpectBookings() | m.ExpectBudget() | m.ExpectUnchanged():
                return await self._expect_state(statement)
            case _:
                return await self._act_on_fleet(statement)

    async def _start_in_background(self, statement: m.Statement) -> None:
        started = trio.Event()

        async def work() -> None:
            started.set()
            await self._execute(statement)

        self._background.start_soon(work)
        await started.wait()

    def _results_of(self, name: str) -> NamedResults:
        return self._results_by_name.setdefault(name, NamedResults())

    async def _execute_named(self, statement: m.Send | m.Publish | m.StepBack) -> None:
        match statement:
            case m.Send():
                await self._send_all(statement)
            case m.Publish():
                await self._publish(statement)
            case m.StepBack(name):
                self._record_verdict(name, await self._driver.operator().roll_back())

    async def _send_all(self, send: m.Send) -> None:
        named_results = self._results_of(send.name)
        first = len(named_results.results)
        async with trio.open_nursery() as nursery:
            for number in range(send.count):
                named_results.results.append("pending")
                if send.every_s:
                    nursery.start_soon(self._send_one, send, number, first + number)
                    await trio.sleep(send.every_s)
                else:
                    await self._send_one(send, number, first + number)

    async def _send_one(self, send: m.Send, number: int, index: int) -> None:
        suffix = f" {number + 1}" if number else ""
        text, key = send.text + suffix, (send.key or send.name) + suffix.replace(" ", "-")
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
        self._results_of(send.name).results[index] = answer
        self._sent.append(
            SentRequest(send.kind, send.account, send.host, key, text, send.tokens, answer)
        )

    async def _publish(self, publish: m.Publish) -> None:
        plans = [{"endpoint": name, "action": "drain"} for name in publish.draining]
        content = self._driver.layout.manifest(plans=plans)
        operator = self._driver.operator(publish.operator, publish.zone)
        self._record_verdict(publish.name, await operator.publish(content, publish.base))

    def _record_verdict(self, name: str, outcome: Any) -> None:
        match outcome:
            case Ok(Accepted(version)):
                self._newest_accepted = max(self._newest_accepted, version)
                self._results_of(name).results.append("accepted")
            case Ok(_):
                self._results_of(name).results.append("refused")
            case _:
                self._results_of(name).results.append("broken")

    async def _top_up(self, top_up: m.TopUp) -> str | None:
        operator = self._driver.operator(zone=top_up.zone)
        outcome = await operator.top_up(top_up.budget, top_up.tokens, top_up.payment)
        return None if outcome.is_ok() else f"top-up failed: {outcome.err_value}"

    async def _wait(self, statement: m.WaitReady | m.WaitInForce) -> str | None:
        match statement:
            case m.WaitReady(target):
                for member in self._driver.layout.of_kind("router"):
                    if target in ("", member.host, member.zone):
                        await self._wait_until_ready(member.address)
            case m.WaitInForce(targets):
                await self._wait_until_active(targets)
        return None

    async def _wait_until_ready(self, address: str) -> None:
        url = f"http://{address}/readyz"
        while True:
            match await self._driver.ports.http.request("GET", url):
                case Ok(answer) if answer.status == 200:
                    return
            await trio.sleep(POLL_INTERVAL_S)

    async def _wait_until_active(self, targets: tuple[str, ...]) -> None:
        members = self._driver.layout.of_kind("controller")
        hosts = {m.host for m in members if not targets or {m.host, m.zone} & set(targets)}
        operator = self._driver.operator()
        while True:
            states = await operator.statuses()
            versions = [states[host]["manifest_version"] for host in hosts if host in states]
            if len(versions) == len(hosts) and min(versions) >= self._newest_accepted:
                return
            await trio.sleep(POLL_INTERVAL_S)

    async def _act_on_fleet(self, statement: m.Statement) -> str | None:
        match statement:
            case m.ProcessAction("outage" | "restore" as action, target):
                await self._set_faults(target, down=action == "outage")
            case m.ProcessAction(action, target):
                if action == "kill":
                    self._hosts_with_kills |= self._hosts_of(target)
                await self._driver.change(action, target)
            case m.Cut(one, other):
                await self._driver.cut(one, other)
            case m.Heal(one, other):
                await self._driver.heal(one, other)
            case m.Slow(one, other, delay_s):
                await self._driver.slow(one, other, delay_s)
            case m.LoseAnswers(count, target):
                await self._set_faults(target, lose_answers=count)
                del self._faults[target]["lose_answers"]
            case m.BreakStreams(target, tokens):
                await self._set_faults(target, truncate_after=tokens)
            case m.RememberCounts(target):
                self._remembered[target] = await standin_stats(self._driver, target)
        return None

    def _hosts_of(self, place: str) -> set[str]:
        members = self._driver.layout.members.values()
        return {m.host for m in members if place in (m.name, m.host, m.zone)}

    async def _set_faults(self, name: str, **changes: Any) -> None:
        faults = self._faults.setdefault(name, {})
        faults |= changes
        url = f"http://{self._driver.layout.members[name].address}/faults"
        (await self._driver.ports.http.send_json("PUT", url, faults)).unwrap()

    async def _expect_outcome(
        self, statement: m.ExpectOutcome | m.ExpectOutcomeCount | m.ExpectSameAnswer
    ) -> str | None:
        match statement:
            case m.ExpectOutcome(name, state, code):
                named_results = await self._completed_results(name)
                states, codes = named_results.states(), named_results.codes()
                if set(states) != {state} or (code and set(codes) != {code}):
                    return (
                        f"expected {name} {_as_words(state)} {code}, "
                        f"got {_format_counts(states, codes)}"
                    )
            case m.ExpectOutcomeCount(bound, names, state):
                states = [
                    s for name in names for s in (await self._completed_results(name)).states()
                ]
                if not bound.holds(states.count(state)):
                    wanted = f"{bound} of {' '.join(names)} {_as_words(state)}"
                    return f"expected {wanted}, got {_format_counts(states, [])}"
            case m.ExpectSameAnswer(name, other):
                one, two = await self._completed_results(name), await self._completed_results(other)
                bodies = [_bodies(named_results) for named_results in (one, two)]
                if bodies[0] != bodies[1]:
                    return f"expected {name} same as {other}, got {bodies[0]!r} and {bodies[1]!r}"
        return None

    async def _completed_results(self, name: str) -> NamedResults:
        named_results = self._results_of(name)
        await named_results.wait()
        return named_results

    async def _expect_state(
        self, statement: m.ExpectBookings | m.ExpectBudget | m.ExpectUnchanged
    ) -> str | None:
        match statement:
            case m.ExpectBookings(key, bound):
                made = (await booking_counts(self._driver))[key]
                return None if bound.holds(made) else f"booking {key!r} was made {made} times"
            case m.ExpectUnchanged(target):
                now, before = await standin_stats(self._driver, target), self._remembered[target]
                return (
                    None if now == before else f"counts of {target} changed from {before} to {now}"
                )
            case m.ExpectBudget():
                return await self._expect_budget(statement)

    async def _expect_budget(self, expected: m.ExpectBudget) -> str | None:
        values = await self._stable_values(expected)
        if values and all(map(expected.bound.holds, values.values())):
            return None
        return f"{expected.field} of {expected.budget} by host: {values}, expected {expected.bound}"

    async def _stable_values(self, expected: m.ExpectBudget) -> dict[str, int]:
        """Return a token count of a budget by host, once it has not changed for `STABLE_S`.

        After `SETTLE_TIMEOUT_S`, return the last values read.
        """
        values: dict[str, int] = {}
        unchanged_since = started = trio.current_time()
        while trio.current_time() < min(unchanged_since + STABLE_S, started + SETTLE_TIMEOUT_S):
            states = await self._driver.operator().statuses()
            found = {host: _budget_count(state, expected) for host, state in states.items()}
            if found != values:
                values, unchanged_since = found, trio.current_time()
            await trio.sleep(POLL_INTERVAL_S)
        return values

    async def _recover(self) -> None:
        await self._driver.recover()
        for name, faults in self._faults.items():
            if any(faults.values()):
                await self._set_faults(name, **dict.fromkeys(faults, 0) | {"down": False})

    async def _check_invariants(self) -> None:
        deadline = trio.current_time() + SETTLE_TIMEOUT_S
        while True:
            faults = [reason async for reason in self._invariant_faults()]
            if not faults or trio.current_time() > deadline:
                break
            await trio.sleep(POLL_INTERVAL_S)
        self._failures += [Failure(0, reason) for reason in faults]

    async def _invariant_faults(self) -> Any:
        ledger = await read_ledger(self._driver.operator().event_log)
        made = await booking_counts(self._driver)
        checks: tuple[Iterator[str], ...] = (
            budget_faults(ledger),
            billing_faults(ledger, self._sent, self._hosts_with_kills),
            booking_faults(made, self._sent),
            answer_faults(self._sent),
        )
        for check in checks:
            for reason in check:
                yield reason


def _budget_count(state: dict[str, Any], expected: m.ExpectBudget) -> int:
    return state["budgets"].get(expected.budget, {}).get(expected.field, 0)


def _as_words(state: str) -> str:
    return state.replace("_", " ")


def _format_counts(states: list[str], codes: list[str]) -> str:
    counts = [f"{number} {_as_words(state)}" for state, number in Counter(states).items()]
    known = sorted({code for code in codes if code})
    return ", ".join(counts) + (f" ({', '.join(known)})" if known else "")


def _bodies(named_results: NamedResults) -> list[bytes | str]:
    return [r if isinstance(r, str) else r.body for r in named_results.results]
