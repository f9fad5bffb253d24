"""Retries: bounded when a pool goes, never past the deadline, and a final answer at once."""

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
LARGEST_AMPLIFICATION = 1.3


class UnboundedPolicy(RetryPolicy):
    """The naive policy: each request may use all its tries."""

    def take(self, account: str, pool: str) -> bool:
        return True


class CountingClient(FakeClient):
    """Counts the tries at endpoints that nobody reaches."""

    def __init__(self) -> None:
        dead = FakeEngine(unreachable=True)
        super().__init__({f"127.0.0.1:{i}": dead for i in range(1, ENDPOINTS + 1)})
        self.tries = 0

    def stream(self, *arguments):
        self.tries += 1
        return super().stream(*arguments)


async def amplification(policy: RetryPolicy) -> float:
    """Return tries per request while every endpoint of the pool is gone.

    Each request meets a new table, so that only the policy stands between it and the endpoints.
    """
    client = CountingClient()
    for _ in range(REQUESTS):
        table = EndpointTable("z", random=random.Random(1))
        dispatch_filter = DispatchFilter(table, client, policy)
        call = make_call(MODEL_POOL, ENDPOINTS)
        assert isinstance((await dispatch_filter.handle(call, None)).err_value, NotRun)
    return client.tries / REQUESTS


async def test_pool_that_goes_is_not_stormed():
    assert await amplification(UnboundedPolicy()) == ENDPOINTS
    assert await amplification(RetryPolicy(random.Random(1))) <= LARGEST_AMPLIFICATION


async def test_one_account_that_fails_leaves_the_others_their_retries():
    policy = RetryPolicy(random.Random(1))
    while policy.take("loud", "p"):
        pass
    assert policy.take("quiet", "p")


async def test_no_retry_begins_past_the_deadline():
    policy = RetryPolicy(random.Random(1))
    started = trio.current_time()
    for retry in range(1, 8):
        waited = await policy.wait(retry, started + 1.0)
        assert trio.current_time() < started + 1.0 or not waited


async def test_refusal_after_the_last_try_says_when_to_come_back():
    call = make_call(MODEL_POOL, 2)
    gone = FakeEngine(unreachable=True)
    outcome = await dispatch(call, gone, gone)
    reply = problem_reply(outcome.err_value, call.id)
    assert reply.status == 503 and dict(reply.headers)["retry-after"] == "1"
