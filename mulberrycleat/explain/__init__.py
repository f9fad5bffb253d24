"""The story of one request, joined from the logs of several processes."""

from mulberrycleat.explain.story import Line, Story, read_lines, tell

__all__ = ["Line", "Story", "read_lines", "tell"]
