"""The router: passes callers' requests through a filter chain to endpoints."""
