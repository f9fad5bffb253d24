"""Endpoints and generated requests of the two deployments that the routing bench simulates."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from mulberrycleat.bench.routing_engine import BLOCK_TOKENS, EngineSpec
from mulberrycleat.endpoint import Demand

__all__ = ["DEPLOYMENTS", "Deployment", "RoutedRequest", "generate_requests"]

# Three kinds of engine: fields of EngineSpec, without the zone.
FAST = (12_000.0, 0.012, 0.0004, 24, 160_000, 512)
MEDIUM = (6_000.0, 0.020, 0.0006, 16, 96_000, 384)
SLOW = (3_000.0, 0.030, 0.0010, 12, 48_000, 256)
ZONES = ("zone-a", "zone-b", "zone-c")
SHORT_DEADLINE_S = 8.0
LONG_DEADLINE_S = 30.0


class RoutedRequest(NamedTuple):
    """One request: account, estimated work, actual answer length, and time limit in seconds."""

    id: str
    account: str
    demand: Demand
    answer_tokens: int
    is_long: bool
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines of one pool, the function that generates its requests, and the number of routers."""

    name: str
    engines: tuple[EngineSpec, ...]
    make_request: Callable[[Random, int], RoutedRequest]
    routers: int = 9


def _make_engines(*speeds: tuple[tuple, str]) -> tuple[EngineSpec, ...]:
    return tuple(EngineSpec(*speed, zone) for speed, zone in speeds)


def _block_keys(document: int, tokens: int) -> tuple[int, ...]:
    return tuple(hash((document, block)) for block in range(tokens // BLOCK_TOKENS))


def _prompt_keys(prefix: int, prefix_tokens: int, body: int, body_tokens: int) -> tuple[int, ...]:
    """Return the block keys of a prompt: a prefix shared within its account, then a body."""
    shared = _block_keys(prefix, prefix_tokens)
    return shared + tuple(hash((prefix, key)) for key in _block_keys(body, body_tokens))


def _draw_account(random: Random) -> int:
    """Return an account number from 0 to 9; low numbers are the most frequent."""
    return min(int(random.paretovariate(1.2)) - 1, 9)


def _make_dolerite_request(random: Random, number: int) -> RoutedRequest:
    """Generate a survey note to summarise (some notes recur), or a short question."""
    account = _draw_account(random)
    if random.random() < 0.3:
        is_repeated = random.random() < 0.3 and number > 50
        note_id = 10_000 + (number - random.randrange(1, 50) if is_repeated else number)
        body = int(Random(note_id).lognormvariate(8.3, 0.5))
        keys = _prompt_keys(account, 1024, note_id, min(body, 12_000))
        demand = Demand(1024 + min(body, 12_000), 400, keys)
        answer = random.randrange(150, 400)
        return RoutedRequest(str(number), f"a{account}", demand, answer, True, LONG_DEADLINE_S)
    tokens = random.randrange(30, 200)
    demand = Demand(256 + tokens, 100, _prompt_keys(100 + account, 256, number, 0))
    answer = random.randrange(15, 80)
    return RoutedRequest(str(number), f"a{account}", demand, answer, False, SHORT_DEADLINE_S)


def _make_swan_coastal_request(random: Random, number: int) -> RoutedRequest:
    """Generate a drum's residue history to grade (drums recur), or one turn of a yard chat."""
    account = _draw_account(random)
    if random.random() < 0.4:
        drum_id = 10_000 + min(int(random.paretovariate(0.6)), 400)
        body = 3000 + Random(drum_id).randrange(0, 8000)
        keys = _prompt_keys(account, 512, drum_id * 10 + account, body)
        demand = Demand(512 + body + 60, 200, keys)
        answer = random.randrange(60, 180)
        return RoutedRequest(str(number), f"a{account}", demand, answer, True, LONG_DEADLINE_S)
    chat_id = 50_000 + random.randrange(max(0, number - 200), number + 1) // 8
    tokens = 64 + random.randrange(0, 12) * 64
    demand = Demand(256 + tokens + 40, 120, _prompt_keys(200 + account, 256, chat_id, tokens))
    answer = random.randrange(20, 100)
    return RoutedRequest(str(number), f"a{account}", demand, answer, False, SHORT_DEADLINE_S)


DEPLOYMENTS = (
    Deployment(
        "dolerite",
        _make_engines(
            *((speed, zone) for zone in ZONES[:2] for speed in (FAST, MEDIUM, SLOW)),
            (MEDIUM, ZONES[2]),
            (SLOW, ZONES[2]),
            (SLOW, ZONES[2]),
        ),
        _make_dolerite_request,
    ),
    Deployment(
        "swan-coastal",
        _make_engines(
            (FAST, ZONES[0]),
            (SLOW, ZONES[0]),
            (MEDIUM, ZONES[1]),
            (SLOW, ZONES[1]),
            (MEDIUM, ZONES[2]),
            (SLOW, ZONES[2]),
        ),
        _make_swan_coastal_request,
    ),
)


def generate_requests(
    deployment: Deployment, seed: int, requests_per_s: float, duration_s: float
) -> Iterator[tuple[float, RoutedRequest]]:
    """Yield arrival times, in seconds, and requests of one run.

    Arrivals are a Poisson process, the same for every rule.
    """
    random = Random(f"{deployment.name}:{seed}")
    at = 0.0
    number = 0
    while (at := at + random.expovariate(requests_per_s)) < duration_s:
        number += 1
        yield at, deployment.make_request(random, number)


def estimate_capacity(deployment: Deployment, cached_share: float = 0.0) -> float:
    """Return the requests per second that the engines sustain.

    `cached_share` is the share of the prompt tokens that are cached.
    """
    random = Random(deployment.name)
    sample = [deployment.make_request(random, number) for number in range(1, 2001)]
    prompt = sum(request.demand.prompt_tokens for request in sample) / len(sample)
    answer = sum(request.answer_tokens for request in sample) / len(sample)
    total = 0.0
    for spec in deployment.engines:
        step_s = spec.step_s / spec.max_batch + spec.step_per_request_s
        busy_s = prompt * (1 - cached_share) / spec.prefill_tokens_per_s + answer * step_s
        total += 1 / busy_s
    return total
