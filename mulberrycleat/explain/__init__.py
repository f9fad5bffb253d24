"""Reconstruct the course of one request from the logs of several processes."""

from mulberrycleat.explain.story import Line, Story, read_lines, tell

__all__ = ["Line", "Story", "read_lines", "tell"]
