"""Endpoints: what is known of them, and the choice among them."""

from mulberrycleat.endpoint.view import EndpointView, choose

__all__ = ["EndpointView", "choose"]
