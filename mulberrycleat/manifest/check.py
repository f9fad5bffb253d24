"""Validation of a manifest: the type of each field, then the references between items.

A full manifest and a change pass the same checks. For a change, only the items that it puts are
checked, and the items that refer to an item that it removes or to a budget that it moves to another
account.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrycleat.manifest.model import Key, Manifest, Plan, Pool
from mulberrycleat.manifest.sections import ITEM_TYPES, Sections, apply_changes, key_of, to_sections
from mulberrycleat.settings import Fault, convert_all, line_of

__all__ = ["check_change", "check_items", "check_manifest", "parse_manifest"]


class _Reference(NamedTuple):
    """Items of `section` refer to an item of the section `target` by its key in `field`."""

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
_OPTIONAL_REFERENCES = frozenset({"plans"})
_TYPE_SPECIFIC_CHECKS = frozenset({"keys", "pools", "plans"})
_KEY_FIELDS = {"keys": "sha256", "plans": "endpoint", "objectives": "measure"}

_ItemId = tuple[str, str]


def parse_manifest(text: str) -> Result[Manifest, list[Fault]]:
    """Parse a manifest in TOML or JSON, or return all faults with their paths and lines.

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
    """Convert plain data to a manifest, or return all faults."""
    match convert_all(data, Manifest):
        case Err(faults):
            return Err(faults)
        case Ok(manifest):
            faults = list(_manifest_faults(manifest))
            return Err(faults) if faults else Ok(manifest)


def check_change(
    sections: Sections, put: Mapping[str, Any], remove: Mapping[str, Any]
) -> Result[Sections, list[Fault]]:
    """Return the sections after a change, or all faults.

    Parameters
    ----------
    put : mapping
        New and changed items as plain data, by section.
    remove : mapping
        Keys of the items to remove, by section.

    Examples
    --------
    >>> from mulberrycleat.manifest.sections import empty_sections
    >>> put = {"budgets": [{"name": "huts", "account": "nobody"}]}
    >>> check_change(empty_sections(), put, {}).err_value[0].path
    'put.budgets[0].account'
    """
    faults = [Fault(name, "unknown section") for name in {*put, *remove} - ITEM_TYPES.keys()]
    items: dict[str, list[Any]] = {}
    paths: dict[_ItemId, str] = {}
    for section, kind in ITEM_TYPES.items():
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
    paths: Mapping[_ItemId, str],
) -> Result[Sections, list[Fault]]:
    """Return the sections after a change whose items have the right types, or all faults.

    Parameters
    ----------
    items : mapping
        New and changed items, by section.
    remove : mapping
        Keys of the items to remove, by section.
    paths : mapping
        Path to report in a fault, by section and key; for an item without an entry, the path is
        its section and key.
    """
    put = {section: found for section, found in items.items() if found}
    after = apply_changes(sections, put, remove)
    affected = {(section, key_of(item)) for section, found in put.items() for item in found}
    affected.update(_referrers(sections, after, put, remove))
    faults = list(_item_faults(after, sorted(affected), paths))
    return Err(faults) if faults else Ok(after)


def _manifest_faults(manifest: Manifest) -> Iterator[Fault]:
    paths: dict[_ItemId, str] = {}
    for section, item, path in _items_with_paths(manifest):
        item_id = section, key_of(item)
        if item_id in paths:
            field = _KEY_FIELDS.get(section, "name")
            yield Fault(f"{path}.{field}", f"{item_id[1]!r} stands twice")
        paths.setdefault(item_id, path)
    yield from _owner_faults(manifest)
    yield from _item_faults(to_sections(manifest), paths, paths)


def _items_with_paths(manifest: Manifest) -> Iterator[tuple[str, Any, str]]:
    for section in ITEM_TYPES:
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
) -> Iterator[_ItemId]:
    """Yield the items that refer to a removed item or to a budget that changed accounts."""
    for section, field, target in _REFERENCES:
        gone = {key for key in remove.get(target, ()) if key not in after[target]}
        if target == "budgets":
            gone |= {b.name for b in put.get(target, ()) if before[target].get(b.name, b) != b}
        if gone:
            for key, item in after[section].items():
                if getattr(item, field) in gone:
                    yield section, key


def _item_faults(
    sections: Sections, item_ids: Iterable[_ItemId], paths: Mapping[_ItemId, str]
) -> Iterator[Fault]:
    models = _pools_by_model(sections)
    references = {section: _references_of(section, sections) for section in ITEM_TYPES}
    for section, key in item_ids:
        item = sections[section].get(key)
        if item is None:
            continue
        for field, target, known in references[section]:
            name = getattr(item, field)
            if name not in known and (name or section not in _OPTIONAL_REFERENCES):
                path = paths.get((section, key)) or f"{section}.{key}"
                yield Fault(f"{path}.{field}", f"no {target[:-1]} named {name!r}")
        if section in _TYPE_SPECIFIC_CHECKS:
            path = paths.get((section, key)) or f"{section}.{key}"
            yield from _type_specific_faults(sections, item, path, models)


def _references_of(section: str, sections: Sections) -> list[tuple[str, str, Mapping[str, Any]]]:
    """Return field, target section and valid keys of each reference from items of `section`."""
    return [(r.field, r.target, sections[r.target]) for r in _REFERENCES if r.section == section]


def _type_specific_faults(
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


def _pools_by_model(sections: Sections) -> dict[str, str]:
    models: dict[str, str] = {}
    for pool in sections["pools"].values():
        models.setdefault(pool.model, pool.name)
    return models
