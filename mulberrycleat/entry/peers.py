"""Calls to other entry hosts."""

from __future__ import annotations

from result import Err, Ok

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.web.client import BaseHttpClient, HttpAnswer

__all__ = ["PEER_TIMEOUT_S", "PeerCalls"]

# Longest wait for another host; a call to one takes some milliseconds.
PEER_TIMEOUT_S = 0.25


class PeerCalls:
    """Short calls to other hosts, whose faults are told in the log.

    Parameters
    ----------
    client : BaseHttpClient
        HTTP towards other hosts.
    decisions : DecisionLog
        Where calls without an answer are told.
    """

    def __init__(self, client: BaseHttpClient, decisions: DecisionLog) -> None:
        self._client = client
        self._decisions = decisions

    async def call(
        self, method: str, peer: str, path: str, body: bytes, bound_s: float = PEER_TIMEOUT_S
    ) -> HttpAnswer | None:
        """Return another host's answer, or None when there is none.

        Parameters
        ----------
        peer : str
            Address, as ``ip:port``.
        bound_s : float
            Longest wait, in seconds, where that is less than `PEER_TIMEOUT_S`.
        """
        wait_s = min(PEER_TIMEOUT_S, bound_s)
        outcome = await self._client.request(
            method, f"http://{peer}{path}", body, None, wait_s, whole_s=wait_s
        )
        match outcome:
            case Ok(answer):
                return answer
            case Err(error):
                self._decisions.note("no answer", peer=peer, step=path, why=str(error))
                return None
