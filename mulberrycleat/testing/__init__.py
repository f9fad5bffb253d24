"""Test harness, simulated fleet, and a local fleet of real processes for tests, demo and bench."""

from mulberrycleat.testing.harness import fixture, run_virtual

__all__ = ["fixture", "run_virtual"]
