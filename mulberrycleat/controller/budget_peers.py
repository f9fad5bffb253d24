"""Token transfers between the hosts of a zone, which work without the platform."""

from __future__ import annotations

import logging

from result import Err, Ok

from mulberrycleat.budget import SliceManager, tokens_to_send
from mulberrycleat.controller.messages import (
    GUARD,
    PULL,
    GuardReply,
    GuardRequest,
    PullReply,
    PullRequest,
)
from mulberrycleat.rpc import RpcClient

__all__ = ["PeerTransfers"]

log = logging.getLogger(__name__)

PULL_TIMEOUT_S = 0.5


class PeerTransfers:
    """Pull tokens from peers and send tokens to them.

    Parameters
    ----------
    peers : list of RpcClient
        Controllers of the other hosts in the zone.

    Notes
    -----
    When the reply to a pull is lost, the tokens have still left the sender's slice. The transfer
    is part of the sender's next settlement, and the receiver gets the tokens from the ledger.
    """

    def __init__(self, peers: list[RpcClient]) -> None:
        self._peers = peers
        self._first_peer = 0

    async def pull(self, manager: SliceManager, budget: str, tokens: int) -> None:
        """Ask the peers in turn for tokens until `tokens` are free."""
        for index in range(len(self._peers)):
            missing = tokens - manager.free(budget)
            if missing <= 0:
                return
            peer = self._peers[(self._first_peer + index) % len(self._peers)]
            request = PullRequest(manager.holder, budget, missing)
            match await peer.call(PULL, request, PULL_TIMEOUT_S):
                case Ok(PullReply(transfer=transfer)) if transfer is not None:
                    manager.receive(transfer)
                case Err(error):
                    log.warning("pull of tokens failed", extra={"step": "call", "peer": error.peer})
                    self._first_peer += 1

    async def raise_limit(self, manager: SliceManager, budget: str, tokens: int) -> None:
        """Have a peer record a higher spending limit of this holder, if one is needed."""
        limit = manager.limit_for(budget, tokens)
        if limit is None:
            return
        request = GuardRequest(manager.holder, budget, limit)
        for index in range(len(self._peers)):
            peer = self._peers[(self._first_peer + index) % len(self._peers)]
            match await peer.call(GUARD, request, PULL_TIMEOUT_S):
                case Ok(GuardReply(taken_in=True, holder=holder)):
                    manager.raise_limit(holder, budget, limit)
                    return
                case Err(error):
                    log.warning(
                        "request to record a spending limit failed",
                        extra={"step": "call", "peer": error.peer},
                    )

    def guard(self, manager: SliceManager, request: GuardRequest) -> GuardReply:
        """Record the spending limit of a peer; return the reply to the peer."""
        taken_in = manager.record_peer_limit(request.holder, request.budget, request.limit)
        return GuardReply(taken_in, manager.holder)

    def send(self, manager: SliceManager, request: PullRequest) -> PullReply:
        """Remove free tokens from the slice; return the reply that sends them to a peer."""
        free = manager.free(request.budget)
        tokens = tokens_to_send(free, request.tokens)
        return PullReply(manager.send(request.receiver, request.budget, tokens))
