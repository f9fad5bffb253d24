"""What a host knows of an outage of the store, and which calls it makes meanwhile.

Each host finds out by itself when the store answers it again: no host probes on behalf of others,
so that none of them depends on a host that dies, freezes or is cut off. A host believes for a short
time what others state about their own direct calls. It never passes on what it was told: two hosts
can't keep each other from noticing that the store is back.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

__all__ = ["StoreOutage"]

# Interval between direct calls while the store does not answer this host, in seconds. With the
# time-out of a call that is still unanswered when the store returns (`store_timeout_s`), a host is
# back in service about 1.2 s after that; two seconds are allowed.
DIRECT_RETRY_INTERVAL_S = 0.8
# Time for which a host believes that no host reaches the store, after others have stated so, in
# seconds: two direct calls. It doubles with each further round of questions, up to the maximum. A
# host that alone stays cut off finds one that reaches the store again at most that much later.
BELIEF_S, MAX_BELIEF_S = 1.6, 3.2
# The same if no other host has answered at all, in seconds: nothing is known then.
SILENCE_S = 0.3
# Interval between questions for what other hosts remember, in seconds, by a host that has a state
# already. One that lost the store later may know a newer route map than this host; it is asked when
# the outage becomes general, and what is known changes little after that.
MEMORY_INTERVAL_S = 4.0
# Other hosts tried for one call, and further ones if the earlier ones have stated that they don't
# reach the store. Such an answer takes some milliseconds, a host that is silent a second.
ATTEMPTS, MAX_ATTEMPTS = 2, 4


class StoreOutage:
    """Decides on the calls of one host while the store does not answer it.

    Parameters
    ----------
    random : Random
        Source of the random order in which hosts are tried.

    Examples
    --------
    >>> outage = StoreOutage(Random(0))
    >>> outage.begin_direct(0.0)
    True
    >>> outage.record_direct(False, 0.0, 0.4)
    >>> outage.begin_direct(0.5), outage.is_general(0.5)
    (False, False)
    >>> outage.record_round(asked=2, stated=2, peers=8, now=0.6)
    True
    >>> outage.is_general(0.7), outage.begin_direct(0.7), outage.begin_direct(0.8)
    (True, False, True)
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._lost_at: float | None = None
        self._direct_at = float("-inf")
        self._regained_at = float("-inf")
        self._believed_until = float("-inf")
        self._belief_s = 0.0
        self._helper = ""
        self._asked: dict[str, int] = {}
        self._questions = 0
        self._recalled_at: dict[str, float] = {}

    @property
    def lost_at(self) -> float | None:
        """Time since which the store has not answered this host, in seconds; None if it does."""
        return self._lost_at

    @property
    def regained_at(self) -> float:
        """End of the latest outage, in seconds; -inf before one."""
        return self._regained_at

    @property
    def helper(self) -> str:
        """Address of the host that has reached the store for this one; empty if none is known."""
        return self._helper

    @property
    def next_direct_at(self) -> float:
        """Time from which the next call is made directly, in seconds."""
        return self._direct_at + DIRECT_RETRY_INTERVAL_S

    def is_general(self, now: float) -> bool:
        """Whether no host is believed to reach the store."""
        return self._lost_at is not None and not self._helper and now < self._believed_until

    @property
    def max_attempts(self) -> int:
        """Hosts tried for one call, if the earlier ones have stated that they don't reach it."""
        return ATTEMPTS if self._belief_s else MAX_ATTEMPTS

    def begin_direct(self, now: float) -> bool:
        """Whether a call is made directly now; it is noted that it is."""
        is_due = self._lost_at is None or now >= self.next_direct_at
        if is_due:
            self._direct_at = now
        return is_due

    def may_recall(self, call: str, has_state: bool, now: float) -> bool:
        """Whether other hosts are asked for what they remember; it is noted that they are.

        Parameters
        ----------
        call : str
            Name of the call whose result they remember.
        has_state : bool
            Whether this host has a result already. One that has not asks each time.
        """
        due = now - self._recalled_at.get(call, float("-inf")) >= MEMORY_INTERVAL_S
        if due or not has_state:
            self._recalled_at[call] = now
            return True
        return False

    def is_late(self, began_at: float) -> bool:
        """Whether a call began before the end of the latest outage, so that its failure means none.

        A read that waits at the store fails up to some seconds after the store has returned.
        """
        return began_at < self._regained_at

    def record_direct(self, answered: bool, began_at: float, now: float) -> None:
        """Note the outcome of a direct call; the first failed one begins an outage."""
        if answered:
            if self._lost_at is not None:
                self._regained_at = now
            self._lost_at = None
            self._end_belief()
            self._helper = ""
            self._asked.clear()
        elif self._lost_at is None and not self.is_late(began_at):
            self._lost_at = now

    def order(self, peers: Sequence[str]) -> list[str]:
        """Return the hosts in the order in which they are tried.

        The host that has reached the store comes first, then those that were asked longest ago: all
        hosts have been asked after a number of rounds, however many of them are cut off.
        """
        found = list(peers)
        self._random.shuffle(found)
        found.sort(key=lambda peer: -1 if peer == self._helper else self._asked.get(peer, 0))
        return found

    def record_answer(self, peer: str, reached: bool) -> None:
        """Note whether a host has reached the store for this one."""
        self._questions += 1
        self._asked[peer] = self._questions
        if reached and self._lost_at is not None:
            self._helper = peer
            self._end_belief()
        elif peer == self._helper:
            self._helper = ""

    def record_round(self, asked: int, stated: int, peers: int, now: float) -> bool:
        """Note that none of some hosts has reached the store; return whether a belief begins.

        A single host that fails says nothing about the others, unless there are none.

        Parameters
        ----------
        asked, stated : int
            Hosts asked, and those of them that have stated that they don't reach it.
        peers : int
            Hosts that there are.
        """
        if self._lost_at is None or self._helper or asked < min(ATTEMPTS, peers):
            return False
        if now < self._believed_until:
            return False
        if not stated:
            self._believed_until = now + SILENCE_S
            return False
        begins = not self._belief_s
        if begins:
            self._recalled_at.clear()
        self._belief_s = min(2 * self._belief_s or BELIEF_S, MAX_BELIEF_S)
        self._believed_until = now + self._belief_s
        return begins

    def _end_belief(self) -> None:
        self._believed_until = float("-inf")
        self._belief_s = 0.0
