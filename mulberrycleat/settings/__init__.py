"""Settings: one TOML file per process, checked completely at startup."""

from mulberrycleat.settings.check import Fault, convert_all, line_of
from mulberrycleat.settings.load import load_settings, load_settings_text, read_fleet_key
from mulberrycleat.settings.model import (
    ControllerSettings,
    HostSettings,
    LogSettings,
    OperatorSettings,
    PlatformSettings,
    RouterSettings,
)

__all__ = [
    "ControllerSettings",
    "Fault",
    "HostSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "RouterSettings",
    "convert_all",
    "line_of",
    "load_settings",
    "load_settings_text",
    "read_fleet_key",
]
