"""Exchanges with endpoints: a single attempt of a request at one endpoint."""

from mulberrycleat.router.exchanges.failures import failure, no_endpoint, past_deadline
from mulberrycleat.router.exchanges.model import run_model
from mulberrycleat.router.exchanges.service import run_service

__all__ = ["failure", "no_endpoint", "past_deadline", "run_model", "run_service"]
