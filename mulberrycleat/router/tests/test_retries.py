"""Retries: bounded while a pool is unreachable, and never after the deadline."""

from __future__ import annotations

import random

import trio

from mulberrycleat.core import NotRun
from mulberrycleat.router.answers import problem_reply
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.filters import DispatchFilter
from mulberrycleat.router.retries import RetryPolicy
from mulberrycleat.router.tests.fakes import MODEL_POOL, FakeClient, FakeEngine, dispatch, make_call

REQUESTS = 400
ENDPOINTS = 3
MAX_ATTEMPTS_PER_REQUEST = 1.3


class UnlimitedRetries(RetryPolicy):
    """A policy without retry budgets: each request may use all its attempts."""

    def try_consume(self, account: str, pool: str) -> bool:
        return True


class CountingClient(FakeClient):
    """Counts the attempts at unreachable endpoints."""

    def __init__(self) -> None:
        dead = FakeEngine(unreachable=True)
        super().__init__({f"127.0.0.1:{i}": dead for i in range(1, ENDPOINTS + 1)})
        self.tries = 0

    def stream(self, *arguments):
        self.tries += 1
        return super().stream(*arguments)


async def attempts_per_request(policy: RetryPolicy) -> float:
    """Return the attempts per request while every endpoint of the pool is unreachable.

    Each request uses a new table, so that only the policy limits the attempts.
    """
    client = CountingClient()
    for _ in range(REQUESTS):
        table = EndpointTable("z", random=random.Random(1))
        dispatch_filter = DispatchFilter(table, client, policy)
        call = make_call(MODEL_POOL, ENDPOINTS)
        assert isinstance((await dispatch_filter.handle(call, None)).err_value, NotRun)
    return client.tries / REQUESTS


async def test_retries_are_bounded_while_a_pool_is_unreachable():
    assert await attempts_per_request(UnlimitedRetries()) == ENDPOINTS
    assert await attempts_per_request(RetryPolicy(random.Random(1))) <= MAX_ATTEMPTS_PER_REQUEST


async def test_account_that_exhausts_its_retries_leaves_those_of_other_accounts():
    policy = RetryPolicy(random.Random(1))
    while policy.try_consume("loud", "p"):
        pass
    assert policy.try_consume("quiet", "p")


async def test_no_retry_begins_after_the_deadline():
    policy = RetryPolicy(random.Random(1))
    started = trio.current_time()
    for retry in range(1, 8):
        waited = await policy.wait(retry, started + 1.0)
        assert trio.current_time() < started + 1.0 or not waited


async def test_refusal_after_the_last_attempt_has_a_retry_after_header():
    call = make_call(MODEL_POOL, 2)
    gone = FakeEngine(unreachable=True)
    outcome = await dispatch(call, gone, gone)
    reply = problem_reply(outcome.err_value, call.id)
    assert reply.status == 503 and dict(reply.headers)["retry-after"] == "1"
