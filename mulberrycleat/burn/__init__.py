"""Service-level burn: recording on the routers, merging, objectives, report."""

from mulberrycleat.burn.model import INTERVALS_PATH, Interval, Series
from mulberrycleat.burn.recorder import Recorder

__all__ = ["INTERVALS_PATH", "Interval", "Recorder", "Series"]
