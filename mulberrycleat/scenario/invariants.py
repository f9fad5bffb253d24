"""Invariants that are checked at the end of every scenario."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from mulberrycleat.scenario.facts import Ledger, SentRequest

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
    for request in ledger.billed_twice:
        yield f"request {request} is billed twice"


def billing_faults(ledger: Ledger, sent: Sequence[SentRequest], killed: set[str]) -> Iterator[str]:
    """Yield answers whose bill is missing or wrong, and refusals that were billed.

    Parameters
    ----------
    killed : set of str
        Hosts on which a process was killed. Their missing bills are no fault, since unrecorded
        bills are lost with the process.
    """
    for sent_request in sent:
        request = sent_request.answer.headers.get(ID_HEADER, "")
        if not request:
            continue
        billed = ledger.bills.get((sent_request.account, request))
        match sent_request.answer.outcome:
            case "not_run" if billed:
                yield f"request {request} was refused as not run and billed {billed} tokens"
            case "served" if sent_request.kind == "question" and sent_request.host not in killed:
                cost = _cost(sent_request)
                if billed != cost:
                    yield f"request {request} cost {cost} tokens and is billed {billed}"


def booking_faults(booking_counts: Counter[str], sent: Sequence[SentRequest]) -> Iterator[str]:
    """Yield duplicate bookings, and bookings made although every answer said not run."""
    for key, count in sorted(booking_counts.items()):
        accounts = {sent_request.account for sent_request in sent if sent_request.key == key}
        if count > max(1, len(accounts)):
            yield f"booking {key!r} was made {count} times"
        outcomes = {sent_request.answer.outcome for sent_request in sent if sent_request.key == key}
        if outcomes == {"not_run"}:
            yield f"booking {key!r} was made although every answer said that it was not run"


def answer_faults(sent: Sequence[SentRequest]) -> Iterator[str]:
    """Yield served answers with a wrong text, and bookings whose answers differ."""
    for sent_request in sent:
        if sent_request.kind == "question" and sent_request.answer.outcome == "served":
            expected = expected_text(sent_request.text, sent_request.tokens)
            if sent_request.answer.text != expected:
                yield (
                    f"{sent_request.text!r} got {sent_request.answer.text!r}, "
                    f"expected {expected!r}"
                )
    bookings: dict[tuple[str, str], set[bytes]] = {}
    for sent_request in sent:
        if sent_request.kind == "booking" and sent_request.answer.outcome == "served":
            bookings.setdefault((sent_request.account, sent_request.key), set()).add(
                sent_request.answer.body
            )
    for (_, key), bodies in bookings.items():
        if len(bodies) > 1:
            yield f"booking {key!r} got {len(bodies)} different answers"


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that the engine stand-in generates for a prompt.

    >>> expected_text("Open?", 1)
    '5b5f8 '
    """
    words = (hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest() for index in range(tokens))
    return "".join(f"{word[:5]} " for word in words)


def _cost(sent_request: SentRequest) -> int:
    """Return the cost in tokens at the default price: prompt tokens plus generated tokens."""
    usage = _usage(sent_request)
    return usage["prompt_tokens"] + usage["completion_tokens"]


def _usage(sent_request: SentRequest) -> dict[str, int]:
    if not sent_request.answer.is_stream:
        return msgspec.json.decode(sent_request.answer.body)["usage"]
    chunks = [msgspec.json.decode(event) for event in sent_request.answer.events[:-1]]
    return [chunk["usage"] for chunk in chunks if chunk.get("usage")][-1]
