"""Endpoints: what is known of them, and the choice among them."""

from mulberrycleat.endpoint.prefix import BLOCK_BYTES, prefix_keys
from mulberrycleat.endpoint.view import EndpointView, choose

__all__ = ["BLOCK_BYTES", "EndpointView", "choose", "prefix_keys"]
