"""Scenario parser. Parses each line on its own, so that it reports every faulty line."""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError
from result import Err, Ok, Result

from mulberrycleat.scenario import model as m
from mulberrycleat.scenario.grammar import GRAMMAR
from mulberrycleat.settings import Fault

__all__ = ["parse_scenario"]

_MAX_EXPECTED_SHOWN = 8


class _Option(NamedTuple):
    name: str
    value: Any


class _BlockMarker(NamedTuple):
    keyword: str


class _StatementTransformer(Transformer):
    """Transforms the parse tree of one line into a statement."""

    NAME = str
    INT = int
    NUMBER = float
    ACTION = str
    FIELD = str

    def STRING(self, token: Token) -> str:  # noqa: N802
        return str(token)[1:-1]

    def KIND(self, token: Token) -> str:  # noqa: N802
        return str(token).removesuffix("s")

    def start(self, parts: list[Any]) -> Any:
        return parts[0]

    def concurrently(self, parts: list[Any]) -> _BlockMarker:
        return _BlockMarker("concurrently")

    def end(self, parts: list[Any]) -> _BlockMarker:
        return _BlockMarker("end")

    def fleet(self, parts: list[Any]) -> m.Fleet:
        return m.Fleet(dict(zip(parts[::2], parts[1::2], strict=True)))

    def top_up(self, parts: list[Any]) -> m.TopUp:
        options = {option.name: option.value for option in parts[2:]}
        return m.TopUp(parts[0], parts[1], **options)

    def publish(self, parts: list[Any]) -> m.Publish:
        draining = tuple(o.value for o in parts[1:] if o.name == "draining")
        options = {o.name: o.value for o in parts[1:] if o.name != "draining"}
        return m.Publish(parts[0], draining, **options)

    def send(self, parts: list[Any]) -> m.Send:
        count = parts.pop(0) if isinstance(parts[0], int) else 1
        kind, name, account, host, *options = parts
        keywords = {option.name: option.value for option in options}
        return m.Send(kind, name, account, host, count, **keywords)

    def cut(self, parts: list[Any]) -> m.Cut:
        return m.Cut(parts[0], parts[1] if len(parts) > 1 else "*")

    def heal(self, parts: list[Any]) -> m.Heal:
        return m.Heal(parts[0], parts[1] if len(parts) > 1 else "*")

    def wait_in_force(self, parts: list[Any]) -> m.WaitInForce:
        return m.WaitInForce(tuple(parts))

    def count(self, parts: list[Any]) -> m.ExpectOutcomeCount:
        return m.ExpectOutcomeCount(parts[0], tuple(parts[1:-1]), parts[-1])

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        name = str(data)
        if name in _STATEMENT_CLASSES:
            return _STATEMENT_CLASSES[name](*children)
        if name in _BOUND_KINDS:
            return m.Bound(name, children[0])
        return _Option(name, children[0]) if children else name


_STATEMENT_CLASSES = {
    "step_back": m.StepBack,
    "meanwhile": m.Meanwhile,
    "change": m.ProcessAction,
    "slow": m.Slow,
    "lose": m.LoseAnswers,
    "break_streams": m.BreakStreams,
    "wait": m.Wait,
    "wait_ready": m.WaitReady,
    "remember": m.RememberCounts,
    "unchanged": m.ExpectUnchanged,
    "outcomes": m.ExpectOutcome,
    "same": m.ExpectSameAnswer,
    "made": m.ExpectBookings,
    "budget": m.ExpectBudget,
}
_BOUND_KINDS = ("exactly", "at_least", "at_most")


def parse_scenario(text: str, name: str = "scenario") -> Result[m.Scenario, list[Fault]]:
    """Parse a scenario, or return every syntax fault with its line number.

    Examples
    --------
    >>> parse_scenario("wait 2 s").ok_value.statements[0].statement
    Wait(time_s=2.0)
    >>> for fault in parse_scenario("wiat 2 s\\nwait 2\\nend").err_value:
    ...     print(fault.line, fault.reason.partition(";")[0])
    1 unexpected 'wiat'
    2 the line ends too early
    3 'end' without 'concurrently'
    """
    statements: list[m.Located] = []
    block: list[m.Located] | None = None
    block_line = 0
    faults: list[Fault] = []
    for number, found in _parse_lines(text):
        match found:
            case Fault():
                faults.append(found)
            case _BlockMarker("concurrently") if block is None:
                block, block_line = [], number
            case _BlockMarker("end") if block is not None:
                statements.append(m.Located(block_line, m.Concurrently(tuple(block))))
                block = None
            case _BlockMarker(keyword):
                faults.append(Fault("", _describe_misplaced_marker(keyword), number))
            case statement:
                (statements if block is None else block).append(m.Located(number, statement))
    if block is not None:
        faults.append(Fault("", "'concurrently' without 'end'", block_line))
    faults.sort(key=lambda fault: fault.line)
    return Err(faults) if faults else Ok(m.Scenario(name, tuple(statements)))


def _describe_misplaced_marker(keyword: str) -> str:
    if keyword == "end":
        return "'end' without 'concurrently'"
    return "'concurrently' inside of 'concurrently'"


def _parse_lines(text: str) -> Iterator[tuple[int, Any]]:
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped and not stripped.startswith("#"):
            yield number, _parse_line(line, number)


def _parse_line(line: str, number: int) -> Any:
    try:
        return _StatementTransformer().transform(_parser().parse(line))
    except UnexpectedInput as error:
        return Fault("", _describe_syntax_error(error), number)
    except VisitError as error:
        return Fault("", str(error.orig_exc), number)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def _describe_syntax_error(error: UnexpectedInput) -> str:
    match error:
        case UnexpectedToken() if error.token.type == "$END" or not str(error.token):
            return f"the line ends too early; expected {_describe_terminals(error.expected)}"
        case UnexpectedToken() if error.token.type in ("INT", "NUMBER"):
            return (
                f"unexpected number {error.token}; expected {_describe_terminals(error.expected)}"
            )
        case UnexpectedToken():
            return (
                f"unexpected {str(error.token)!r}; expected {_describe_terminals(error.expected)}"
            )
        case UnexpectedCharacters():
            return f"unexpected {error.char!r}; expected {_describe_terminals(error.allowed or ())}"
        case _:
            return str(error)


def _describe_terminals(terminals: Any) -> str:
    terminals_by_name = {terminal.name: terminal for terminal in _parser().terminals}
    descriptions = sorted(_describe_terminal(name, terminals_by_name) for name in terminals)
    shown = ", ".join(descriptions[:_MAX_EXPECTED_SHOWN])
    return f"{shown}, …" if len(descriptions) > _MAX_EXPECTED_SHOWN else shown


def _describe_terminal(name: str, terminals_by_name: dict[str, Any]) -> str:
    match name:
        case "$END":
            return "the end of the line"
        case "KIND":
            return "question, booking"
        case "NAME":
            return "a name"
        case "INT":
            return "a whole number"
        case "NUMBER":
            return "a number"
        case "STRING":
            return "a text in double quotes"
        case _ if name in terminals_by_name:
            return _keywords_of(terminals_by_name[name].pattern.value)
        case _:
            return name


def _keywords_of(pattern: str) -> str:
    """Return the keywords of a terminal without the syntax of its regular expression."""
    return pattern.partition("(?!")[0].strip("()").replace("|", ", ")
