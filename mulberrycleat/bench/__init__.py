"""Measurements. All timings are taken here; tests don't measure time."""
