"""Statements of a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

__all__ = [
    "Bound",
    "Break",
    "Budget",
    "Change",
    "Concurrently",
    "Count",
    "Cut",
    "Fleet",
    "Heal",
    "Lose",
    "Made",
    "Meanwhile",
    "Outcomes",
    "Publish",
    "Remember",
    "Same",
    "Scenario",
    "Send",
    "Slow",
    "Statement",
    "StepBack",
    "TopUp",
    "Unchanged",
    "Wait",
    "WaitInForce",
    "WaitReady",
]

State = Literal["served", "not_run", "may_have_run", "broken", "accepted", "refused"]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Counts of the fleet's plan, by the name of its field."""

    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class TopUp:
    """An operator prepays tokens; `payment` names the payment, so that it can be repeated."""

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
        Under which the verdict is remembered.
    draining : tuple of str
        Endpoints that the manifest drains.
    base : int or None
        Version that it builds on; None for the one in force.
    """

    name: str
    draining: tuple[str, ...] = ()
    base: int | None = None
    operator: str = "demo"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class StepBack:
    """An operator publishes the manifest before the one in force again."""

    name: str


@dataclass(frozen=True, slots=True)
class Send:
    """A caller sends requests and waits for their answers.

    Attributes
    ----------
    name : str
        Under which the answers are remembered.
    count : int
        How many requests; from the second on, text and key get its number appended.
    every_s : float
        Time between the starts of two of them, in seconds; 0 for one after the other's end.
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
    """Start a statement and go on; an expectation of its name waits for its end."""

    statement: Statement


@dataclass(frozen=True, slots=True)
class Concurrently:
    """Run statements at the same time and wait for all."""

    statements: tuple[Located, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """Do something to a process, or to all of a host or zone.

    ``outage`` and ``restore`` are for stand-ins, ``stop`` is the graceful one.
    """

    action: Literal["kill", "start", "stop", "freeze", "thaw", "outage", "restore"]
    target: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Cut the links between two ends."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class Heal:
    """Take a cut back."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class Slow:
    """Add a delay to the links between two ends."""

    one: str
    other: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class Lose:
    """Lose the answers to the next writes of a stand-in, which take effect."""

    count: int
    target: str


@dataclass(frozen=True, slots=True)
class Break:
    """Let an engine break its streams after some tokens; 0 for never."""

    target: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Let time pass."""

    time_s: float


@dataclass(frozen=True, slots=True)
class WaitReady:
    """Wait until the routers of a host or zone, or all, are ready."""

    target: str = ""


@dataclass(frozen=True, slots=True)
class WaitInForce:
    """Wait until the newest accepted manifest is in force on hosts or zones, or everywhere."""

    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Remember:
    """Remember the counts of a stand-in."""

    target: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Expect that the counts of a stand-in are those remembered."""

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
class Outcomes:
    """Expect that every answer or verdict of a name is in a state, with a code if one is given."""

    name: str
    state: State
    code: str = ""


@dataclass(frozen=True, slots=True)
class Count:
    """Expect that a number of the answers or verdicts of some names is in a state."""

    bound: Bound
    names: tuple[str, ...]
    state: State


@dataclass(frozen=True, slots=True)
class Same:
    """Expect that two names got the same answer."""

    name: str
    other: str


@dataclass(frozen=True, slots=True)
class Made:
    """Expect that the bookings of a key were made a number of times."""

    key: str
    bound: Bound


@dataclass(frozen=True, slots=True)
class Budget:
    """Expect a number of a budget, as the log has it."""

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
    | Change
    | Cut
    | Heal
    | Slow
    | Lose
    | Break
    | Wait
    | WaitReady
    | WaitInForce
    | Remember
    | Unchanged
    | Outcomes
    | Count
    | Same
    | Made
    | Budget
)


class Located(NamedTuple):
    """A statement and its line."""

    line: int
    statement: Statement


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole file."""

    name: str
    statements: tuple[Located, ...]
