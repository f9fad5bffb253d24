"""Measurements. Timings live here and never in the tests."""
