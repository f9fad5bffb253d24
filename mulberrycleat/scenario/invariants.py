"""What must hold at the end of every scenario."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from mulberrycleat.scenario.facts import Ledger, Sent

__all__ = ["answer_faults", "billing_faults", "booking_faults", "budget_faults"]

ID_HEADER = "x-request-id"
REPLAYED_HEADER = "idempotent-replayed"


def budget_faults(ledger: Ledger) -> Iterator[str]:
    """Yield every budget that was overspent and every request billed twice.

    >>> list(budget_faults(Ledger({"huts": 10}, {("huts", "r1"): 12}, [])))
    ['budget huts: 12 tokens spent of 10 prepaid']
    """
    for budget in sorted({budget for budget, _ in ledger.bills}):
        spent, prepaid = ledger.spent(budget), ledger.prepaid.get(budget, 0)
        if spent > prepaid:
            yield f"budget {budget}: {spent} tokens spent of {prepaid} prepaid"
    for request in ledger.repeated:
        yield f"request {request} is billed twice"


def billing_faults(ledger: Ledger, sent: Sequence[Sent], killed: set[str]) -> Iterator[str]:
    """Yield answers whose bill is missing or wrong, and refusals that were billed.

    Parameters
    ----------
    killed : set of str
        Hosts of which a process was killed; bills that died with it are not missed.
    """
    for one in sent:
        request = one.answer.headers.get(ID_HEADER, "")
        if not request:
            continue
        billed = ledger.bills.get((one.account, request))
        match one.answer.outcome:
            case "not_run" if billed:
                yield f"request {request} was refused as not run and billed {billed} tokens"
            case "served" if one.kind == "question" and one.host not in killed:
                cost = _cost(one)
                if billed != cost:
                    yield f"request {request} cost {cost} tokens and is billed {billed}"


def booking_faults(made: Counter[str], sent: Sequence[Sent]) -> Iterator[str]:
    """Yield bookings made twice, and bookings made although every answer said not run."""
    for key, count in sorted(made.items()):
        accounts = {one.account for one in sent if one.key == key}
        if count > max(1, len(accounts)):
            yield f"booking {key!r} was made {count} times"
        outcomes = {one.answer.outcome for one in sent if one.key == key}
        if outcomes == {"not_run"}:
            yield f"booking {key!r} was made although every answer said that it was not run"


def answer_faults(sent: Sequence[Sent]) -> Iterator[str]:
    """Yield served answers that are not whole or not the caller's own."""
    for one in sent:
        if one.kind == "question" and one.answer.outcome == "served":
            wanted = expected_text(one.text, one.tokens)
            if one.answer.text != wanted:
                yield f"{one.text!r} got {one.answer.text!r} in place of {wanted!r}"
    bookings: dict[tuple[str, str], set[bytes]] = {}
    for one in sent:
        if one.kind == "booking" and one.answer.outcome == "served":
            bookings.setdefault((one.account, one.key), set()).add(one.answer.body)
    for (_, key), bodies in bookings.items():
        if len(bodies) > 1:
            yield f"booking {key!r} got {len(bodies)} different answers"


def expected_text(prompt: str, tokens: int) -> str:
    """Return what the engine stand-in answers.

    >>> expected_text("Open?", 1)
    '5b5f8 '
    """
    words = (hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest() for index in range(tokens))
    return "".join(f"{word[:5]} " for word in words)


def _cost(one: Sent) -> int:
    """Return the cost at the default price, a token for each of the prompt and the answer."""
    usage = _usage(one)
    return usage["prompt_tokens"] + usage["completion_tokens"]


def _usage(one: Sent) -> dict[str, int]:
    if not one.answer.is_stream:
        return msgspec.json.decode(one.answer.body)["usage"]
    chunks = [msgspec.json.decode(event) for event in one.answer.events[:-1]]
    return [chunk["usage"] for chunk in chunks if chunk.get("usage")][-1]
