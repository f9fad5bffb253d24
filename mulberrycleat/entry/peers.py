"""Calls to other entry hosts."""

from __future__ import annotations

from result import Err, Ok

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.web.asgi import DEFAULT_MAX_BODY_BYTES
from mulberrycleat.web.client import BaseHttpClient, HttpAnswer

__all__ = ["PEER_TIMEOUT_S", "PeerCalls"]

# Longest wait for another host's answer, in seconds; a call takes some milliseconds.
PEER_TIMEOUT_S = 0.25
# Maximum size of another host's answer; that of the bodies which hosts accept from each other.
MAX_PEER_ANSWER_BYTES = DEFAULT_MAX_BODY_BYTES


class PeerCalls:
    """Calls to other hosts with a short timeout; failed calls are logged.

    Parameters
    ----------
    client : BaseHttpClient
        HTTP client for calls to other hosts.
    decisions : DecisionLog
        Log of calls without an answer.
    """

    def __init__(self, client: BaseHttpClient, decisions: DecisionLog) -> None:
        self._client = client
        self._decisions = decisions

    async def call(
        self, method: str, peer: str, path: str, body: bytes, bound_s: float = PEER_TIMEOUT_S
    ) -> HttpAnswer | None:
        """Call another host and return its answer, or None if there is none in time.

        Parameters
        ----------
        method, path, body : str, str, bytes
            The request.
        peer : str
            Address of the host, as ``ip:port``.
        bound_s : float
            Longest wait, in seconds; larger values than `PEER_TIMEOUT_S` have no effect.
        """
        wait_s = min(PEER_TIMEOUT_S, bound_s)
        outcome = await self._client.request(
            method,
            f"http://{peer}{path}",
            body,
            None,
            wait_s,
            total_timeout_s=wait_s,
            max_bytes=MAX_PEER_ANSWER_BYTES,
        )
        match outcome:
            case Ok(answer):
                return answer
            case Err(error):
                self._decisions.info("no answer", peer=peer, step=path, why=str(error))
                return None
