"""Checks of a manifest: types field by field, then names against each other.

A whole manifest and a change of one pass the same checks; a change only those of the items that it
touches, and of those that refer to what it takes away.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrycleat.manifest.model import Key, Manifest, Plan, Pool
from mulberrycleat.manifest.sections import KINDS, Sections, key_of, split, updated
from mulberrycleat.settings import Fault, convert_all, line_of

__all__ = ["check_change", "check_items", "check_manifest", "parse_manifest"]


class _Reference(NamedTuple):
    """Items of `section` name an item of `target` in `field`."""

    section: str
    field: str
    target: str


_REFERENCES = (
    _Reference("budgets", "account", "accounts"),
    _Reference("keys", "account", "accounts"),
    _Reference("keys", "budget", "budgets"),
    _Reference("endpoints", "pool", "pools"),
    _Reference("plans", "endpoint", "endpoints"),
    _Reference("plans", "pool", "pools"),
    _Reference("objectives", "pool", "pools"),
)
_OPTIONAL = frozenset({"plans"})
_OWN_CHECKS = frozenset({"keys", "pools", "plans"})
_KEY_FIELDS = {"keys": "sha256", "plans": "endpoint", "objectives": "measure"}

_Place = tuple[str, str]


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
            faults = list(_whole_faults(manifest))
            return Err(faults) if faults else Ok(manifest)


def check_change(
    sections: Sections, put: Mapping[str, Any], remove: Mapping[str, Any]
) -> Result[Sections, list[Fault]]:
    """Return the sections with plain items put and keys removed, or every fault.

    Examples
    --------
    >>> from mulberrycleat.manifest.sections import empty_sections
    >>> put = {"budgets": [{"name": "huts", "account": "nobody"}]}
    >>> check_change(empty_sections(), put, {}).err_value[0].path
    'put.budgets[0].account'
    """
    faults = [Fault(name, "unknown section") for name in {*put, *remove} - KINDS.keys()]
    items: dict[str, list[Any]] = {}
    paths: dict[_Place, str] = {}
    for section, kind in KINDS.items():
        items[section] = []
        for i, plain in enumerate(put.get(section, ())):
            match convert_all(plain, kind):
                case Ok(item):
                    items[section].append(item)
                    paths[section, key_of(item)] = f"put.{section}[{i}]"
                case Err(found):
                    faults += [f._replace(path=f"put.{section}[{i}].{f.path}") for f in found]
    if faults:
        return Err(faults)
    return check_items(sections, items, remove, paths)


def check_items(
    sections: Sections,
    items: Mapping[str, Sequence[Any]],
    remove: Mapping[str, Any],
    paths: Mapping[_Place, str],
) -> Result[Sections, list[Fault]]:
    """Return the sections with items put and keys removed, or every fault among the names.

    Parameters
    ----------
    paths : mapping
        Path to name in a fault, by section and key; others are named by section and key.
    """
    put = {section: found for section, found in items.items() if found}
    after = updated(sections, put, remove)
    touched = {(section, key_of(item)) for section, found in put.items() for item in found}
    touched.update(_referrers(sections, after, put, remove))
    faults = list(_item_faults(after, sorted(touched), paths))
    return Err(faults) if faults else Ok(after)


def _whole_faults(manifest: Manifest) -> Iterator[Fault]:
    paths: dict[_Place, str] = {}
    for section, item, path in _placed(manifest):
        place = section, key_of(item)
        if place in paths:
            field = _KEY_FIELDS.get(section, "name")
            yield Fault(f"{path}.{field}", f"{place[1]!r} stands twice")
        paths.setdefault(place, path)
    yield from _owner_faults(manifest)
    yield from _item_faults(split(manifest), paths, paths)


def _placed(manifest: Manifest) -> Iterator[tuple[str, Any, str]]:
    for section in KINDS:
        if section != "keys":
            for i, item in enumerate(getattr(manifest, section)):
                yield section, item, f"{section}[{i}]"
    for i, account in enumerate(manifest.accounts):
        for j, key in enumerate(account.keys):
            yield "keys", key, f"accounts[{i}].keys[{j}]"


def _owner_faults(manifest: Manifest) -> Iterator[Fault]:
    for i, account in enumerate(manifest.accounts):
        for j, key in enumerate(account.keys):
            if key.account not in ("", account.name):
                yield Fault(f"accounts[{i}].keys[{j}].account", "names another account")


def _referrers(
    before: Sections, after: Sections, put: Mapping[str, Any], remove: Mapping[str, Any]
) -> Iterator[_Place]:
    """Yield the places of items that refer to one that is gone or has another owner."""
    for section, field, target in _REFERENCES:
        gone = {key for key in remove.get(target, ()) if key not in after[target]}
        if target == "budgets":
            gone |= {b.name for b in put.get(target, ()) if before[target].get(b.name, b) != b}
        if gone:
            for key, item in after[section].items():
                if getattr(item, field) in gone:
                    yield section, key


def _item_faults(
    sections: Sections, places: Iterable[_Place], paths: Mapping[_Place, str]
) -> Iterator[Fault]:
    models = _models(sections)
    references = {section: _references_of(section, sections) for section in KINDS}
    for section, key in places:
        item = sections[section].get(key)
        if item is None:
            continue
        for field, target, known in references[section]:
            name = getattr(item, field)
            if name not in known and (name or section not in _OPTIONAL):
                path = paths.get((section, key)) or f"{section}.{key}"
                yield Fault(f"{path}.{field}", f"no {target[:-1]} named {name!r}")
        if section in _OWN_CHECKS:
            path = paths.get((section, key)) or f"{section}.{key}"
            yield from _own_faults(sections, item, path, models)


def _references_of(section: str, sections: Sections) -> list[tuple[str, str, Mapping[str, Any]]]:
    """Return field, target and known names of each reference that items of `section` make."""
    return [(r.field, r.target, sections[r.target]) for r in _REFERENCES if r.section == section]


def _own_faults(
    sections: Sections, item: Any, path: str, models: Mapping[str, str]
) -> Iterator[Fault]:
    match item:
        case Key():
            budget = sections["budgets"].get(item.budget)
            if budget is not None and budget.account != item.account:
                yield Fault(f"{path}.budget", f"{item.budget!r} belongs to another account")
        case Pool():
            if item.kind == "model" and not item.model:
                yield Fault(f"{path}.model", "a pool of engines needs a model name")
            if item.model and models[item.model] != item.name:
                yield Fault(f"{path}.model", f"{item.model!r} has another pool")
        case Plan():
            yield from _plan_faults(item, path)


def _plan_faults(plan: Plan, path: str) -> Iterator[Fault]:
    if plan.action != "rollout" and not plan.endpoint:
        yield Fault(f"{path}.endpoint", f"a plan to {plan.action} names an endpoint")
    if plan.action in ("rollout", "swap") and not plan.pool:
        yield Fault(f"{path}.pool", f"a {plan.action} names a pool")
    if plan.action == "rollout" and plan.endpoint:
        yield Fault(f"{path}.endpoint", "a rollout names a pool, not an endpoint")
    if plan.action == "rollout" and not plan.version:
        yield Fault(f"{path}.version", "a rollout names the version that it brings")


def _models(sections: Sections) -> dict[str, str]:
    models: dict[str, str] = {}
    for pool in sections["pools"].values():
        models.setdefault(pool.model, pool.name)
    return models
