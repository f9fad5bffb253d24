"""Burn of service-level objectives: recording on routers, merging, burn rates, and reports."""

from mulberrycleat.burn.model import INTERVALS_PATH, Interval, Series
from mulberrycleat.burn.recorder import Recorder

__all__ = ["INTERVALS_PATH", "Interval", "Recorder", "Series"]
