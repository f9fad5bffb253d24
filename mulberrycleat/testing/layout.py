"""The members of a fleet under test: names, zones, addresses and settings."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

__all__ = ["HOST_KINDS", "FleetPlan", "Layout", "Member"]

PLATFORM_ZONE = "platform"
FIRST_TOKEN_S = 1.3
BETWEEN_TOKENS_S = 0.036
BOOKING_S = 2.0
OBJECTIVE_TARGET = 0.95
HOST_KINDS = ("router", "controller")


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a fleet consists of.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    hosts_per_zone : int
        Entry hosts in each availability zone.
    engines_per_zone, services_per_zone : int
        Endpoints of each pool in each availability zone.
    accounts : tuple of str
        Client accounts; each gets one API key and one budget with the account's name.
    models : tuple of str
        Names of models; the engines of a model are the pool ``pool-MODEL``.
    services : tuple of str
        Pools of plain services, which are not idempotent.
    standin : mapping
        Settings of the stand-ins that differ from the defaults, by kind.
    controller, router : mapping
        Additional settings of every controller and router.
    log_links : bool
        Whether each zone connects to the log through a link process that can be cut.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    hosts_per_zone: int = 1
    engines_per_zone: int = 1
    services_per_zone: int = 1
    accounts: tuple[str, ...] = ("dolerite", "swan-coastal")
    models: tuple[str, ...] = ("survey-large",)
    services: tuple[str, ...] = ("bookings",)
    standin: dict[str, dict[str, Any]] = field(default_factory=dict)
    controller: dict[str, Any] = field(default_factory=dict)
    router: dict[str, Any] = field(default_factory=dict)
    log_links: bool = True


class Member(NamedTuple):
    """One process of the fleet.

    Attributes
    ----------
    kind : str
        ``router``, ``controller``, or the kind of a stand-in.
    zone : str
        Availability zone, or ``platform``.
    host : str
        Entry host of a router or controller; for another process, the process's own name.
    address : str
        ``ip:port`` at which the process serves; for a link, its control address.
    settings : mapping
        Content of the settings file.
    """

    name: str
    kind: str
    zone: str
    host: str
    address: str
    settings: dict[str, Any]


class Layout:
    """All members of a fleet, the callers' API keys and a matching manifest.

    Parameters
    ----------
    plan : FleetPlan
        What the fleet consists of.
    addresses : iterator of str
        Yields unused ``ip:port`` addresses.
    fleet_key_file : str
        Path, in the settings, of the key that the fleet's processes authenticate with.
    """

    def __init__(self, plan: FleetPlan, addresses: Iterator[str], fleet_key_file: str) -> None:
        self._plan = plan
        self._addresses = addresses
        self._fleet_key_file = fleet_key_file
        self._members: dict[str, Member] = {}
        self._endpoints: list[dict[str, Any]] = []
        self._keys = {account: secrets.token_urlsafe(18) for account in plan.accounts}
        for kind in ("log", "hosts", "weights"):
            self._add_standin(kind, kind, PLATFORM_ZONE)
        for zone in plan.zones:
            self._add_zone(zone)

    @property
    def members(self) -> dict[str, Member]:
        """Members by name."""
        return self._members

    @property
    def keys(self) -> dict[str, str]:
        """API key of each account."""
        return self._keys

    @property
    def models(self) -> tuple[str, ...]:
        """Models that callers can request."""
        return self._plan.models

    @property
    def services(self) -> tuple[str, ...]:
        """Pools of plain services."""
        return self._plan.services

    def of_kind(self, kind: str) -> list[Member]:
        """Return the members of one kind."""
        return [member for member in self._members.values() if member.kind == kind]

    def operator(self, name: str = "demo") -> dict[str, Any]:
        """Return an operator's settings as plain data."""
        return {
            "operator": name,
            "platform": {"log": self._members["log"].address},
            "controllers": [member.address for member in self.of_kind("controller")],
            "routers": [member.address for member in self.of_kind("router")],
            "fleet_key_file": self._fleet_key_file,
        }

    def manifest(self, **changes: Any) -> dict[str, Any]:
        """Return a manifest for this fleet as plain data; `changes` replace or add fields."""
        accounts = [
            {"name": name, "keys": [{"sha256": _sha256(key), "budget": name}]}
            for name, key in self._keys.items()
        ]
        models = [
            {"name": f"pool-{model}", "kind": "model", "model": model, "max_generated": 256}
            for model in self._plan.models
        ]
        services = [
            {"name": name, "kind": "service", "idempotent": False, "price": {"fixed": 5000}}
            for name in self._plan.services
        ]
        return {
            "accounts": accounts,
            "budgets": [{"name": name, "account": name} for name in self._keys],
            "pools": models + services,
            "endpoints": self._endpoints,
            "objectives": self._objectives(),
            **changes,
        }

    def _objectives(self) -> list[dict[str, Any]]:
        pools = [f"pool-{model}" for model in self._plan.models]
        first = [_objective(pool, "first_token", FIRST_TOKEN_S) for pool in pools]
        token_gap = [_objective(pool, "between_tokens", BETWEEN_TOKENS_S) for pool in pools]
        full_response = [
            _objective(pool, "whole_answer", BOOKING_S) for pool in self._plan.services
        ]
        return first + token_gap + full_response

    def _add(self, name: str, kind: str, zone: str, host: str, settings: dict) -> None:
        address = settings.get("control") or settings["listen"]
        self._members[name] = Member(name, kind, zone, host, address, settings)

    def _add_standin(self, name: str, kind: str, zone: str) -> str:
        address = next(self._addresses)
        settings = {"kind": kind, "listen": address, **self._plan.standin.get(kind, {})}
        self._add(name, kind, zone, name, settings)
        return address

    def _add_zone(self, zone: str) -> None:
        log_address = self._members["log"].address
        if self._plan.log_links:
            log_address = self._add_link(zone, log_address)
        self._add_endpoints(zone)
        names = [f"{zone}-{number}" for number in range(1, self._plan.hosts_per_zone + 1)]
        listen_addresses = {name: next(self._addresses) for name in names}
        for name in names:
            self._add_host(name, zone, listen_addresses, log_address)

    def _add_link(self, zone: str, target: str) -> str:
        link_address = next(self._addresses)
        settings = {"kind": "link", "listen": link_address, "target": target}
        settings["control"] = next(self._addresses)
        self._add(f"link-{zone}", "link", zone, f"link-{zone}", settings)
        return link_address

    def _add_endpoints(self, zone: str) -> None:
        kinds = [(f"pool-{model}", "engine") for model in self._plan.models]
        kinds += [(service, "service") for service in self._plan.services]
        for pool, kind in kinds:
            per_zone = getattr(self._plan, f"{kind}s_per_zone")
            for number in range(1, per_zone + 1):
                name = f"{pool}-{zone}-{number}"
                address = self._add_standin(name, kind, zone)
                self._endpoints.append(
                    {"name": name, "pool": pool, "zone": zone, "address": address}
                )

    def _add_host(
        self, name: str, zone: str, listen_addresses: dict[str, str], log_address: str
    ) -> None:
        listen = listen_addresses[name]
        peers = [address for other, address in listen_addresses.items() if other != name]
        platform = {"log": log_address, "hosts": self._members["hosts"].address}
        common = {"host": {"name": name, "zone": zone}, "fleet_key_file": self._fleet_key_file}
        controller = {**common, "listen": listen, "peers": peers, "platform": platform}
        self._add(
            f"controller-{name}", "controller", zone, name, controller | self._plan.controller
        )
        router = {**common, "listen": next(self._addresses), "controllers": [listen, *peers]}
        self._add(f"router-{name}", "router", zone, name, router | self._plan.router)


def _objective(pool: str, measure: str, bound_s: float) -> dict[str, Any]:
    return {"pool": pool, "measure": measure, "bound_s": bound_s, "target": OBJECTIVE_TARGET}


def _sha256(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
