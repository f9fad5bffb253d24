"""The router: callers in front, endpoints behind, the filter chain between."""
