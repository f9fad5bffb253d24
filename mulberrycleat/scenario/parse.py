"""Parsing of scenarios, line by line, so that every faulty line is named."""

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

_EXPECTED_SHOWN = 8


class _Option(NamedTuple):
    name: str
    value: Any


class _Marker(NamedTuple):
    word: str


class _ToStatement(Transformer):
    """Turns the tree of one line into a statement."""

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

    def concurrently(self, parts: list[Any]) -> _Marker:
        return _Marker("concurrently")

    def end(self, parts: list[Any]) -> _Marker:
        return _Marker("end")

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
        given = {option.name: option.value for option in options}
        return m.Send(kind, name, account, host, count, **given)

    def cut(self, parts: list[Any]) -> m.Cut:
        return m.Cut(parts[0], parts[1] if len(parts) > 1 else "*")

    def heal(self, parts: list[Any]) -> m.Heal:
        return m.Heal(parts[0], parts[1] if len(parts) > 1 else "*")

    def wait_in_force(self, parts: list[Any]) -> m.WaitInForce:
        return m.WaitInForce(tuple(parts))

    def count(self, parts: list[Any]) -> m.Count:
        return m.Count(parts[0], tuple(parts[1:-1]), parts[-1])

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        name = str(data)
        if name in _PLAIN:
            return _PLAIN[name](*children)
        if name in _BOUNDS:
            return m.Bound(name, children[0])
        return _Option(name, children[0]) if children else name


_PLAIN = {
    "step_back": m.StepBack,
    "meanwhile": m.Meanwhile,
    "change": m.Change,
    "slow": m.Slow,
    "lose": m.Lose,
    "break_streams": m.Break,
    "wait": m.Wait,
    "wait_ready": m.WaitReady,
    "remember": m.Remember,
    "unchanged": m.Unchanged,
    "outcomes": m.Outcomes,
    "same": m.Same,
    "made": m.Made,
    "budget": m.Budget,
}
_BOUNDS = ("exactly", "at_least", "at_most")


def parse_scenario(text: str, name: str = "scenario") -> Result[m.Scenario, list[Fault]]:
    """Parse a scenario, or return every fault with its line.

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
    opened = 0
    faults: list[Fault] = []
    for number, found in _lines(text):
        match found:
            case Fault():
                faults.append(found)
            case _Marker("concurrently") if block is None:
                block, opened = [], number
            case _Marker("end") if block is not None:
                statements.append(m.Located(opened, m.Concurrently(tuple(block))))
                block = None
            case _Marker(word):
                faults.append(Fault("", _marker_reason(word), number))
            case statement:
                (statements if block is None else block).append(m.Located(number, statement))
    if block is not None:
        faults.append(Fault("", "'concurrently' without 'end'", opened))
    faults.sort(key=lambda fault: fault.line)
    return Err(faults) if faults else Ok(m.Scenario(name, tuple(statements)))


def _marker_reason(word: str) -> str:
    if word == "end":
        return "'end' without 'concurrently'"
    return "'concurrently' inside of 'concurrently'"


def _lines(text: str) -> Iterator[tuple[int, Any]]:
    for number, line in enumerate(text.splitlines(), 1):
        bare = line.strip()
        if bare and not bare.startswith("#"):
            yield number, _parse_line(line, number)


def _parse_line(line: str, number: int) -> Any:
    try:
        return _ToStatement().transform(_parser().parse(line))
    except UnexpectedInput as error:
        return Fault("", _reason(error), number)
    except VisitError as error:
        return Fault("", str(error.orig_exc), number)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def _reason(error: UnexpectedInput) -> str:
    match error:
        case UnexpectedToken() if error.token.type == "$END" or not str(error.token):
            return f"the line ends too early; expected {_words(error.expected)}"
        case UnexpectedToken() if error.token.type in ("INT", "NUMBER"):
            return f"unexpected number {error.token}; expected {_words(error.expected)}"
        case UnexpectedToken():
            return f"unexpected {str(error.token)!r}; expected {_words(error.expected)}"
        case UnexpectedCharacters():
            return f"unexpected {error.char!r}; expected {_words(error.allowed or ())}"
        case _:
            return str(error)


def _words(terminals: Any) -> str:
    known = {terminal.name: terminal for terminal in _parser().terminals}
    words = sorted(_word(name, known) for name in terminals)
    shown = ", ".join(words[:_EXPECTED_SHOWN])
    return f"{shown}, …" if len(words) > _EXPECTED_SHOWN else shown


def _word(name: str, known: dict[str, Any]) -> str:
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
        case _ if name in known:
            return _bare(known[name].pattern.value)
        case _:
            return name


def _bare(pattern: str) -> str:
    """Return the words of a terminal without the marks of its regular expression."""
    return pattern.partition("(?!")[0].strip("()").replace("|", ", ")
