"""Checks of a manifest: types field by field, then names against each other."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Container, Iterator
from typing import Any

from result import Err, Ok, Result

from mulberrycleat.manifest.model import Manifest
from mulberrycleat.settings import Fault, convert_all, line_of

__all__ = ["check_manifest", "parse_manifest"]


def parse_manifest(text: str) -> Result[Manifest, list[Fault]]:
    """Parse a manifest in TOML or JSON, or return every fault with its path and line.

    Examples
    --------
    >>> parse_manifest('{"budgets": [{"name": "b", "account": "a"}]}').err_value[0].path
    'budgets[0].account'
    """
    try:
        data = json.loads(text) if text.lstrip().startswith("{") else tomllib.loads(text)
    except json.JSONDecodeError as error:
        return Err([Fault("", error.msg, error.lineno)])
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("", str(error))])
    match check_manifest(data):
        case Err(faults):
            return Err([fault._replace(line=line_of(text, fault.path)) for fault in faults])
        case Ok(manifest):
            return Ok(manifest)


def check_manifest(data: Any) -> Result[Manifest, list[Fault]]:
    """Convert plain data to a manifest, or return every fault."""
    match convert_all(data, Manifest):
        case Err(faults):
            return Err(faults)
        case Ok(manifest):
            faults = list(_faults(manifest))
            return Err(faults) if faults else Ok(manifest)


def _faults(manifest: Manifest) -> Iterator[Fault]:
    for field in ("accounts", "budgets", "pools", "endpoints"):
        yield from _repeated(field, [item.name for item in getattr(manifest, field)])
    accounts = {account.name for account in manifest.accounts}
    budgets = {budget.name: budget.account for budget in manifest.budgets}
    pools = {pool.name for pool in manifest.pools}
    endpoints = {endpoint.name for endpoint in manifest.endpoints}
    for i, budget in enumerate(manifest.budgets):
        yield from _unknown(f"budgets[{i}].account", "account", budget.account, accounts)
    for i, endpoint in enumerate(manifest.endpoints):
        yield from _unknown(f"endpoints[{i}].pool", "pool", endpoint.pool, pools)
    for i, plan in enumerate(manifest.plans):
        yield from _unknown(f"plans[{i}].endpoint", "endpoint", plan.endpoint, endpoints)
    for i, objective in enumerate(manifest.objectives):
        yield from _unknown(f"objectives[{i}].pool", "pool", objective.pool, pools)
    yield from _key_faults(manifest, budgets)
    yield from _pool_faults(manifest)


def _key_faults(manifest: Manifest, budgets: dict[str, str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for i, account in enumerate(manifest.accounts):
        for j, key in enumerate(account.keys):
            path = f"accounts[{i}].keys[{j}]"
            yield from _unknown(f"{path}.budget", "budget", key.budget, budgets)
            if budgets.get(key.budget, account.name) != account.name:
                yield Fault(f"{path}.budget", f"{key.budget!r} belongs to another account")
            if key.sha256 in seen:
                yield Fault(f"{path}.sha256", "the key stands twice")
            seen.add(key.sha256)


def _pool_faults(manifest: Manifest) -> Iterator[Fault]:
    models: set[str] = set()
    for i, pool in enumerate(manifest.pools):
        if pool.kind == "model" and not pool.model:
            yield Fault(f"pools[{i}].model", "a pool of engines needs a model name")
        if pool.model and pool.model in models:
            yield Fault(f"pools[{i}].model", f"{pool.model!r} has another pool")
        models.add(pool.model)


def _repeated(field: str, names: list[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for i, name in enumerate(names):
        if name in seen:
            yield Fault(f"{field}[{i}].name", f"{name!r} stands twice")
        seen.add(name)


def _unknown(path: str, what: str, name: str, known: Container[str]) -> Iterator[Fault]:
    if name not in known:
        yield Fault(path, f"no {what} named {name!r}")
