"""Checks of settings files and configurations, for ``mulberrycleat check``."""

from __future__ import annotations

from result import Err, Ok, Result

from mulberrycleat.entry.settings import EntrySettings
from mulberrycleat.platform.config import decode_config
from mulberrycleat.platform.settings import load_boot_settings
from mulberrycleat.routes import RouteMap
from mulberrycleat.settings.check import Fault

__all__ = ["check_config", "check_settings"]


def check_settings(text: str) -> Result[EntrySettings, list[Fault]]:
    """Decode the settings of an entry host in `text`, or return their faults."""
    return load_boot_settings(text)


def check_config(text: str) -> Result[RouteMap, list[Fault]]:
    """Decode the route map in `text`, or return its faults, such as a route without a pool."""
    match decode_config(text.encode()):
        case Err(reason):
            return Err([Fault("", reason)])
        case Ok(route_map):
            pools = {pool.name for pool in route_map.pools}
            faults = [
                Fault(f"routes.{route.name}", f"unknown service {share.pool!r}")
                for route in route_map.routes
                for share in route.pools
                if share.pool not in pools
            ]
            faults += [
                Fault(f"routes.{route.name}", "has no service to forward to")
                for route in route_map.routes
                if not route.pools
            ]
            return Err(faults) if faults else Ok(route_map)
