"""Calls that are malformed, contain unusual values, or lack the fleet key."""

from __future__ import annotations

import typing
from typing import Any

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from mulberrycleat.controller import messages
from mulberrycleat.controller.messages import STATUS, StatusRequest
from mulberrycleat.rpc import Method
from mulberrycleat.testing import run_virtual
from mulberrycleat.testing.fuzzing import fuzz
from mulberrycleat.testing.inprocess import FLEET_KEY, InProcessFleet, in_process_fleet

HOST = "zone-a-1"
METHODS = sorted(item for item in vars(messages).values() if isinstance(item, Method))
CALL_TIMEOUT_S = 10.0

ARBITRARY_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.lists(st.integers(-5, 5), max_size=3)
)
NUMBERS = st.sampled_from([-(2**63), -1, 0, 1, 5, 10**6, 2**62, 2**63 - 1])
TEXTS = st.sampled_from(["", "dolerite", "swan-coastal", "nobody", "zone-a-1/x", "\x00", "é" * 50])


def values_of(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for unusual values of type `kind`."""
    origin, type_args = typing.get_origin(kind), typing.get_args(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        hints = typing.get_type_hints(kind, include_extras=False)
        names = kind.__struct_fields__
        fields = {name: values_of(hints[name]) for name in names}
        return st.fixed_dictionaries(fields)
    if origin is tuple:
        return st.lists(values_of(type_args[0]), max_size=3)
    if origin is dict:
        return st.dictionaries(TEXTS, values_of(type_args[1]), max_size=2)
    scalars = {int: NUMBERS, float: NUMBERS.map(float), str: TEXTS, bytes: st.binary(max_size=20)}
    return scalars.get(kind, ARBITRARY_VALUES)


def calls() -> st.SearchStrategy[tuple[Method, Any]]:
    """Return a strategy for calls of any method, with unusual or arbitrary values as message."""
    strategies = [
        st.tuples(
            st.just(method), values_of(method.request) | st.dictionaries(TEXTS, ARBITRARY_VALUES)
        )
        for method in METHODS
    ]
    return st.one_of(strategies)


async def send(fleet: InProcessFleet, method: Method, value: Any) -> Any:
    """Call `method` with plain data as its message."""
    client = fleet.caller_ports.connect_rpc(fleet.address(f"controller-{HOST}"), FLEET_KEY)
    return await client.call(method, value, CALL_TIMEOUT_S)


@fuzz(8, shrink=False)
@given(st.lists(calls(), min_size=10, max_size=25))
def test_fuzzed_calls_leave_the_fleet_working(fuzzed_calls):
    async def main() -> None:
        async with in_process_fleet() as fleet:
            for method, value in fuzzed_calls:
                match await send(fleet, method, value):
                    case Err(error):
                        assert "UNKNOWN" not in error.reason, (method.name, value, error.reason)
            await trio.sleep(5)
            answer = await fleet.chat(HOST, "dolerite", "survey-large", "Open?", max_tokens=4)
            assert answer.outcome == "served"
            await trio.sleep(5)
            for host, state in (await fleet.operator.statuses()).items():
                for name, budget in state["budgets"].items():
                    assert 0 <= budget["spent"] <= budget["prepaid"], (host, name, budget)

    run_virtual(main)


async def test_calls_without_the_fleet_key_are_refused():
    async with in_process_fleet() as fleet:
        address = fleet.address(f"controller-{HOST}")
        for key in ("", "guess", FLEET_KEY[:-1], FLEET_KEY + " "):
            client = fleet.caller_ports.connect_rpc(address, key)
            match await client.call(STATUS, StatusRequest()):
                case Err(error):
                    assert "UNAUTHENTICATED" in error.reason
                case Ok(_):
                    raise AssertionError(f"answered to {key!r}")
