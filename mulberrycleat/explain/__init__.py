"""Reconstruct the course of one request from the logs of several processes."""

from mulberrycleat.explain.trace import LogRecord, RequestTrace, explain_request, read_lines

__all__ = ["LogRecord", "RequestTrace", "explain_request", "read_lines"]
