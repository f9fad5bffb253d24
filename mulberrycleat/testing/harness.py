"""Test functions with shared fixtures, run by ``unittest``.

A module in a ``tests`` package holds functions named ``test_…``. A parameter of such a function
names a fixture: a function marked with :func:`fixture` in the same module or in ``fixtures.py``
of the same package. A fixture returns the value or, as a generator, yields it and then cleans up.
A fixture's parameters name fixtures too; a fixture that is named twice is created twice.
A coroutine function runs under trio with a virtual clock.
"""

from __future__ import annotations

import contextlib
import doctest
import importlib
import inspect
import pkgutil
import random
import unittest
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from types import ModuleType
from typing import Any, TypeVar

import trio
from trio._core import _run
from trio.testing import MockClock

import mulberrycleat
from mulberrycleat.core.ids import seeded_ids

__all__ = ["collect", "fixture", "run_virtual"]

T = TypeVar("T")

_FIXTURE_ATTRIBUTE = "_is_fixture"
VIRTUAL_TIMEOUT_S = 30 * 86400.0


def fixture(function: Callable[..., Any]) -> Callable[..., Any]:
    """Mark a function as a fixture; the fixture has the function's name."""
    setattr(function, _FIXTURE_ATTRIBUTE, True)
    return function


def collect(pattern: str = "", with_doctests: bool = True) -> unittest.TestSuite:
    """Return the tests whose dotted name contains `pattern`, and doctests of matching modules."""
    suite = unittest.TestSuite()
    for name in _module_names():
        if ".tests." in name:
            suite.addTests(case for case in _cases(name) if pattern in case.id())
        elif with_doctests and pattern in name and not name.endswith("__main__"):
            suite.addTests(_doctests(name))
    return suite


def _module_names() -> Iterator[str]:
    for info in pkgutil.walk_packages(mulberrycleat.__path__, "mulberrycleat."):
        if not info.ispkg:
            yield info.name


def _doctests(name: str) -> unittest.TestSuite:
    module = importlib.import_module(name)
    with contextlib.suppress(ValueError):
        return doctest.DocTestSuite(module)
    return unittest.TestSuite()


def _cases(name: str) -> Iterator[unittest.TestCase]:
    module = importlib.import_module(name)
    fixtures = _fixtures(module)
    for attribute, function in vars(module).items():
        if not attribute.startswith("test_") or not inspect.isfunction(function):
            continue
        if function.__module__ == name:
            yield FunctionCase(f"{name}.{attribute}", function, fixtures)


def _fixtures(module: ModuleType) -> dict[str, Callable[..., Any]]:
    found: dict[str, Callable[..., Any]] = {}
    with contextlib.suppress(ModuleNotFoundError):
        found |= _marked_fixtures(importlib.import_module(f"{module.__package__}.fixtures"))
    return found | _marked_fixtures(module)


def _marked_fixtures(module: ModuleType) -> dict[str, Callable[..., Any]]:
    return {
        name: item
        for name, item in vars(module).items()
        if getattr(item, _FIXTURE_ATTRIBUTE, False)
    }


class FunctionCase(unittest.TestCase):
    """Test case of one test function and its fixtures."""

    def __init__(
        self, name: str, function: Callable[..., Any], fixtures: dict[str, Callable[..., Any]]
    ) -> None:
        super().__init__("run_function")
        self._name = name
        self._function = function
        self._fixtures = fixtures

    def id(self) -> str:
        """Return the dotted name of the function."""
        return self._name

    def __str__(self) -> str:
        return self._name

    def shortDescription(self) -> None:  # noqa: N802
        """Return None, so that the runner prints the test's name."""

    def run_function(self) -> None:
        """Create the fixtures, run the function, and clean up the fixtures."""
        with contextlib.ExitStack() as stack:
            values = self._fixture_values(self._function, stack)
            if inspect.iscoroutinefunction(self._function):
                run_virtual(partial(self._function, **values))
            else:
                self._function(**values)

    def _fixture_values(
        self, function: Callable[..., Any], stack: contextlib.ExitStack
    ) -> dict[str, Any]:
        names = [
            p.name for p in inspect.signature(function).parameters.values() if p.default is p.empty
        ]
        return {name: self._fixture_value(name, stack) for name in names}

    def _fixture_value(self, name: str, stack: contextlib.ExitStack) -> Any:
        if name not in self._fixtures:
            raise LookupError(f"{self._name}: no fixture named {name!r}")
        function = self._fixtures[name]
        arguments = self._fixture_values(function, stack)
        if inspect.isgeneratorfunction(function):
            return stack.enter_context(contextlib.contextmanager(function)(**arguments))
        return function(**arguments)


def run_virtual(function: Callable[[], Awaitable[T]], seed: int = 0) -> T:
    """Run a coroutine function under a virtual clock, with a deterministic order of tasks.

    Parameters
    ----------
    function : callable
        Coroutine function without arguments; its result is returned.
    seed : int
        Seed of the order in which trio runs tasks, of identifiers and of :mod:`random`.

    Raises
    ------
    trio.TooSlowError
        If the function runs for `VIRTUAL_TIMEOUT_S` on the virtual clock. The clock jumps there
        without delay if all tasks wait forever.
    """

    async def run_with_timeout() -> T:
        with trio.fail_after(VIRTUAL_TIMEOUT_S):
            return await function()

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    random.seed(seed)
    with seeded_ids(seed):
        return trio.run(run_with_timeout, clock=MockClock(autojump_threshold=0))
