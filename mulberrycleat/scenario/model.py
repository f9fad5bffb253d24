"""Syntax tree of the scenario language: a class for each statement."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

__all__ = [
    "Bound",
    "BreakStreams",
    "Concurrently",
    "Cut",
    "ExpectBookings",
    "ExpectBudget",
    "ExpectOutcome",
    "ExpectOutcomeCount",
    "ExpectSameAnswer",
    "ExpectUnchanged",
    "Fleet",
    "Heal",
    "LoseAnswers",
    "Meanwhile",
    "ProcessAction",
    "Publish",
    "RememberCounts",
    "Scenario",
    "Send",
    "Slow",
    "Statement",
    "StepBack",
    "TopUp",
    "Wait",
    "WaitInForce",
    "WaitReady",
]

State = Literal["served", "not_run", "may_have_run", "broken", "accepted", "refused"]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Set counts of the fleet plan, given by field name."""

    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class TopUp:
    """An operator prepays tokens; a retry with the same `payment` ID has no further effect.

    Attributes
    ----------
    zone : str
        Zone from which the operator reaches the log; empty for no zone.
    """

    budget: str
    tokens: int
    payment: str = ""
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator publishes the fleet's manifest.

    Attributes
    ----------
    name : str
        Name by which later statements refer to the verdict.
    draining : tuple of str
        Endpoints for which the manifest plans a drain.
    base : int or None
        Version that the manifest is based on; None for the active one.
    zone : str
        Zone from which the operator reaches the log; empty for no zone.
    """

    name: str
    draining: tuple[str, ...] = ()
    base: int | None = None
    operator: str = "demo"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class StepBack:
    """An operator rolls back: publishes the manifest before the active one again."""

    name: str


@dataclass(frozen=True, slots=True)
class Send:
    """A caller sends requests and waits for their answers.

    Attributes
    ----------
    name : str
        Name by which later statements refer to the answers.
    account : str
        Client account whose API key is used.
    host : str
        Entry host whose router gets the requests.
    count : int
        Number of requests; from the second on, the request's number is appended to text and key.
    key : str
        Idempotency key of a booking; `name` if empty.
    pool : str
        Pool of a booking; the first of the fleet plan if empty.
    model : str
        Model of a question; the first of the fleet plan if empty.
    text : str
        Text of a question.
    tokens : int
        Maximum number of tokens to generate for a question.
    every_s : float
        Interval between the starts of two requests, in seconds; with 0, each request starts
        after the answer to the one before it.
    """

    kind: Literal["question", "booking"]
    name: str
    account: str
    host: str
    count: int = 1
    key: str = ""
    pool: str = ""
    model: str = ""
    text: str = "Is the east track open?"
    tokens: int = 16
    every_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Meanwhile:
    """Run a statement in the background; an expectation on its `name` waits until it has ended."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class Concurrently:
    """Run statements concurrently and wait until all have ended."""

    statements: tuple[Located, ...]


@dataclass(frozen=True, slots=True)
class ProcessAction:
    """Act on a process, or on all processes of a host or zone.

    ``outage`` and ``restore`` apply to stand-ins; ``stop`` is a graceful shutdown.
    """

    action: Literal["kill", "start", "stop", "freeze", "thaw", "outage", "restore"]
    target: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Partition two places: cut the links between them; `other` is ``*`` for all other places."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class Heal:
    """Restore the links between two places."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class Slow:
    """Add a delay in seconds to the links between two places."""

    one: str
    other: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Lose a stand-in's answers to the next `count` writes; the writes themselves take effect."""

    count: int
    target: str


@dataclass(frozen=True, slots=True)
class BreakStreams:
    """Make an engine abort each stream after a number of tokens; 0 turns this off."""

    target: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a time in seconds."""

    time_s: float


@dataclass(frozen=True, slots=True)
class WaitReady:
    """Wait until all routers, or those of a host or zone, are ready."""

    target: str = ""


@dataclass(frozen=True, slots=True)
class WaitInForce:
    """Wait until the newest accepted manifest is active on all hosts, or in some hosts or zones."""

    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RememberCounts:
    """Store the counts of a stand-in for a later comparison."""

    target: str


@dataclass(frozen=True, slots=True)
class ExpectUnchanged:
    """Expect that the counts of a stand-in equal those last stored by :class:`RememberCounts`."""

    target: str


class Bound(NamedTuple):
    """A comparison with a number."""

    kind: Literal["exactly", "at_least", "at_most"]
    number: int

    def holds(self, value: int) -> bool:
        """Return whether `value` is within the bound.

        >>> Bound("at_most", 3).holds(4)
        False
        """
        match self.kind:
            case "exactly":
                return value == self.number
            case "at_least":
                return value >= self.number
            case "at_most":
                return value <= self.number

    def __str__(self) -> str:
        return f"{self.kind.replace('_', ' ')} {self.number}"


@dataclass(frozen=True, slots=True)
class ExpectOutcome:
    """Expect a state, and optionally a problem code, of every answer or verdict of a name."""

    name: str
    state: State
    code: str = ""


@dataclass(frozen=True, slots=True)
class ExpectOutcomeCount:
    """Expect that a bounded number of the answers or verdicts of some names is in a state."""

    bound: Bound
    names: tuple[str, ...]
    state: State


@dataclass(frozen=True, slots=True)
class ExpectSameAnswer:
    """Expect that the requests of two names got the same answers."""

    name: str
    other: str


@dataclass(frozen=True, slots=True)
class ExpectBookings:
    """Expect that the number of bookings with an idempotency key is within a bound."""

    key: str
    bound: Bound


@dataclass(frozen=True, slots=True)
class ExpectBudget:
    """Expect that a token count of a budget is within a bound in the report of every host."""

    budget: str
    field: Literal["prepaid", "spent", "held", "available"]
    bound: Bound


Statement = (
    Fleet
    | TopUp
    | Publish
    | StepBack
    | Send
    | Meanwhile
    | Concurrently
    | ProcessAction
    | Cut
    | Heal
    | Slow
    | LoseAnswers
    | BreakStreams
    | Wait
    | WaitReady
    | WaitInForce
    | RememberCounts
    | ExpectUnchanged
    | ExpectOutcome
    | ExpectOutcomeCount
    | ExpectSameAnswer
    | ExpectBookings
    | ExpectBudget
)


class Located(NamedTuple):
    """A statement and its line number."""

    line: int
    statement: Statement


@dataclass(frozen=True, slots=True)
class Scenario:
    """The statements of a scenario file."""

    name: str
    statements: tuple[Located, ...]
