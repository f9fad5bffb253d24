"""Endpoints and requests of the two deployments, for the routing bench."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from mulberrycleat.bench.routing_engine import BLOCK_TOKENS, EngineSpec
from mulberrycleat.endpoint import Demand

__all__ = ["DEPLOYMENTS", "Deployment", "RoutedRequest", "requests_of"]

FAST = (12_000.0, 0.012, 0.0004, 24, 160_000, 512)
MEDIUM = (6_000.0, 0.020, 0.0006, 16, 96_000, 384)
SLOW = (3_000.0, 0.030, 0.0010, 12, 48_000, 256)
ZONES = ("zone-a", "zone-b", "zone-c")
SHORT_DEADLINE_S = 8.0
LONG_DEADLINE_S = 30.0


class RoutedRequest(NamedTuple):
    """One request: its account, work, actual length of the answer, and deadline in seconds."""

    id: str
    account: str
    demand: Demand
    answer_tokens: int
    is_long: bool
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines of one pool and the make of its requests."""

    name: str
    engines: tuple[EngineSpec, ...]
    make: Callable[[Random, int], RoutedRequest]
    routers: int = 9


def _engines(*speeds: tuple[tuple, str]) -> tuple[EngineSpec, ...]:
    return tuple(EngineSpec(*speed, zone) for speed, zone in speeds)


def _keys(document: int, tokens: int) -> tuple[int, ...]:
    return tuple(hash((document, block)) for block in range(tokens // BLOCK_TOKENS))


def _prompt(head: int, head_tokens: int, body: int, body_tokens: int) -> tuple[int, ...]:
    """Return the keys of a prompt: a head shared by its account, then a body."""
    shared = _keys(head, head_tokens)
    return shared + tuple(hash((head, key)) for key in _keys(body, body_tokens))


def _account(random: Random) -> int:
    return min(int(random.paretovariate(1.2)) - 1, 9)


def _dolerite(random: Random, number: int) -> RoutedRequest:
    """Make a survey note to summarise (some are asked of again), or a short question."""
    account = _account(random)
    if random.random() < 0.3:
        again = random.random() < 0.3 and number > 50
        note = 10_000 + (number - random.randrange(1, 50) if again else number)
        body = int(Random(note).lognormvariate(8.3, 0.5))
        keys = _prompt(account, 1024, note, min(body, 12_000))
        demand = Demand(1024 + min(body, 12_000), 400, keys)
        answer = random.randrange(150, 400)
        return RoutedRequest(str(number), f"a{account}", demand, answer, True, LONG_DEADLINE_S)
    tokens = random.randrange(30, 200)
    demand = Demand(256 + tokens, 100, _prompt(100 + account, 256, number, 0))
    answer = random.randrange(15, 80)
    return RoutedRequest(str(number), f"a{account}", demand, answer, False, SHORT_DEADLINE_S)


def _swan_coastal(random: Random, number: int) -> RoutedRequest:
    """Make a drum's residue history to grade (drums come back), or a turn of a yard chat."""
    account = _account(random)
    if random.random() < 0.4:
        drum = 10_000 + min(int(random.paretovariate(0.6)), 400)
        body = 3000 + Random(drum).randrange(0, 8000)
        keys = _prompt(account, 512, drum * 10 + account, body)
        demand = Demand(512 + body + 60, 200, keys)
        answer = random.randrange(60, 180)
        return RoutedRequest(str(number), f"a{account}", demand, answer, True, LONG_DEADLINE_S)
    chat = 50_000 + random.randrange(max(0, number - 200), number + 1) // 8
    tokens = 64 + random.randrange(0, 12) * 64
    demand = Demand(256 + tokens + 40, 120, _prompt(200 + account, 256, chat, tokens))
    answer = random.randrange(20, 100)
    return RoutedRequest(str(number), f"a{account}", demand, answer, False, SHORT_DEADLINE_S)


DEPLOYMENTS = (
    Deployment(
        "dolerite",
        _engines(
            *((speed, zone) for zone in ZONES[:2] for speed in (FAST, MEDIUM, SLOW)),
            (MEDIUM, ZONES[2]),
            (SLOW, ZONES[2]),
            (SLOW, ZONES[2]),
        ),
        _dolerite,
    ),
    Deployment(
        "swan-coastal",
        _engines(
            (FAST, ZONES[0]),
            (SLOW, ZONES[0]),
            (MEDIUM, ZONES[1]),
            (SLOW, ZONES[1]),
            (MEDIUM, ZONES[2]),
            (SLOW, ZONES[2]),
        ),
        _swan_coastal,
    ),
)


def requests_of(
    deployment: Deployment, seed: int, per_s: float, duration_s: float
) -> Iterator[tuple[float, RoutedRequest]]:
    """Return the arrivals of one run: Poisson in time, the same for every rule."""
    random = Random(f"{deployment.name}:{seed}")
    at = 0.0
    number = 0
    while (at := at + random.expovariate(per_s)) < duration_s:
        number += 1
        yield at, deployment.make(random, number)


def cold_capacity(deployment: Deployment, cached_share: float = 0.0) -> float:
    """Return the requests a second that the engines carry with this share of prompts cached."""
    random = Random(deployment.name)
    sample = [deployment.make(random, number) for number in range(1, 2001)]
    prompt = sum(request.demand.prompt_tokens for request in sample) / len(sample)
    answer = sum(request.answer_tokens for request in sample) / len(sample)
    total = 0.0
    for spec in deployment.engines:
        step_s = spec.step_s / spec.max_batch + spec.step_per_request_s
        busy_s = prompt * (1 - cached_share) / spec.prefill_tokens_per_s + answer * step_s
        total += 1 / busy_s
    return total
