"""Placement of requests by expected completion, shared prompt parts and outcomes. Free of I/O.

Every entry host finds the same home for a session by rendezvous hashing over the ready endpoints,
so that shared prompt parts are read once though the hosts do not talk to each other. A request
leaves its home when another endpoint is expected to begin so much sooner that reading the parts
again pays, or when the home fails.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.membership.rendezvous import first_by_rank

__all__ = ["Part", "Placement", "Placer", "PlacerSettings", "Work"]


class Part(NamedTuple):
    """A part of a prompt that requests may share, with its length in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of an endpoint.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt; 0 for a plain service.
    parts : tuple of Part
        Shared parts of the prompt, in order, without the request's own last part.
    """

    prompt_tokens: int = 0
    parts: tuple[Part, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacerSettings:
    """How endpoints are compared. Times in seconds.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an engine reads a second, before anything was learned; engines on the
        sheets read 56,000.
    base_s : float
        Time of an answer, or of a first event, beside queueing and reading.
    affinity : float
        Weight of reading shared parts again, relative to the time that it takes: it also delays
        the tokens of the requests that run beside it.
    other_zone_s : float
        What an endpoint of another availability zone must save.
    failure_s : float
        Time that a failure costs the caller.
    outcome_half_s, slowness_half_s : float
        Outcomes, and the slowness of an endpoint that gets no work, count half after this time.
    load_fresh_s : float
        An endpoint's word on its load counts for so long.
    silence_s : float
        An endpoint is suspect when requests are out and no byte came from it for so long.
    eject_s, longest_eject_s : float
        First and longest pause after an endpoint can't be reached; doubled each time.
    near_s : float
        Endpoints within this time of the best are chosen among at random.
    cache_s : float
        Parts are believed to be cached for so long after their last use.
    """

    prefill_tokens_per_s: float = 50_000.0
    base_s: float = 0.04
    affinity: float = 3.0
    other_zone_s: float = 0.003
    failure_s: float = 1.0
    outcome_half_s: float = 4.0
    slowness_half_s: float = 10.0
    load_fresh_s: float = 1.0
    silence_s: float = 1.0
    eject_s: float = 1.0
    longest_eject_s: float = 4.0
    near_s: float = 0.002
    cache_s: float = 60.0


class Placement(NamedTuple):
    """A chosen endpoint.

    Attributes
    ----------
    expected_s : float
        Expected time until the answer, or the first event, in seconds.
    cached_tokens : int
        Prompt tokens that the endpoint is believed to hold.
    candidates : int
        Number of endpoints compared.
    slowness : float
        Expected time relative to that of an endpoint of usual speed.
    """

    entry: Entry
    expected_s: float
    cached_tokens: int
    candidates: int
    slowness: float = 1.0


@dataclass(slots=True)
class _Flight:
    sent_at: float
    expected_s: float
    unread_tokens: int
    slowness: float
    first_at: float | None = None


@dataclass(slots=True)
class _State:
    """What one host knows of one endpoint."""

    entry: Entry
    flights: dict[str, _Flight] = field(default_factory=dict)
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    slowness: float = 1.0
    failures: float = 0.0
    samples: float = 0.0
    outcomes_at: float = 0.0
    heard_at: float = 0.0
    others: float = 0.0
    others_at: float = float("-inf")
    ejections: int = 0
    ejected_until: float = float("-inf")
    cold_until: float = 0.0
    answered_to: float = float("-inf")

    def longest_wait_s(self, now: float) -> float:
        """Return how long the endpoint takes at least, as the requests show that wait there.

        One that waits though another that was sent after it was answered has lost its answer.
        """
        waiting = [f.sent_at for f in self.flights.values() if f.first_at is None]
        return now - min((at for at in waiting if at > self.answered_to), default=now)


@dataclass(slots=True)
class _Cut:
    """Silence of endpoints of another availability zone."""

    silent: dict[str, float] = field(default_factory=dict)
    times: int = 0
    until: float = float("-inf")

    def note(self, entry_id: str, now: float, settings: PlacerSettings) -> None:
        """Note that an endpoint did not answer at all."""
        self.silent = {i: at for i, at in self.silent.items() if now - at < CUT_WITHIN_S}
        self.silent[entry_id] = now
        if now - self.until > settings.longest_eject_s:
            self.times = 0
        if (len(self.silent) >= CUT_ENDPOINTS or self.times) and now >= self.until - CUT_TRIAL_S:
            self.until = now + min(settings.eject_s * 2**self.times, settings.longest_eject_s)
            self.times += 1

    def note_trial(self, now: float) -> None:
        """Note that a request goes to the zone: while the cut is not over, it goes alone."""
        if self.times:
            self.until = max(self.until, now + CUT_TRIAL_S)


# So many endpoints of a zone that are silent within this time mean that the zone is cut off.
CUT_ENDPOINTS, CUT_WITHIN_S = 2, 1.5
# After a pause one request at a time tries a zone that was cut off. A connection that fails to open
# shows in less than this time.
CUT_TRIAL_S = 0.4
MAX_PARTS = 2000
SLOWNESS_GAIN = 0.15
LEAST_SLOWNESS, MOST_SLOWNESS = 0.3, 20.0
PRIOR_SAMPLES = 3.0
MAX_EJECTED_SHARE = 0.5
COLD_SLOWNESS = 1.5


class Placer:
    """Choice among the endpoints of one pool, as one entry host sees them.

    Parameters
    ----------
    settings : PlacerSettings
        How endpoints are compared.
    zone : str
        Availability zone of the host.
    random : Random
        Source of the choice among equals.
    """

    def __init__(self, settings: PlacerSettings, zone: str, random: Random) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random
        self._states: dict[str, _State] = {}
        self._cuts: dict[str, _Cut] = {}

    def choose(
        self, entries: Sequence[Entry], work: Work, now: float, tried: Collection[str] = ()
    ) -> Placement | None:
        """Return the endpoint to send a request to, or None when there is none.

        Parameters
        ----------
        tried : collection of str
            Ids of endpoints to leave out.
        """
        states = [self._state(entry, now) for entry in entries if entry.id not in tried]
        states = self._usable(states, now)
        if not states:
            return None
        home = _home(work, [state.entry.id for state in states])
        best = min(state.slowness for state in states)
        scored = []
        for state in states:
            cached = self._cached_tokens(state, work, now, state.entry.id == home)
            slowness = self._slowness(state, now, best)
            expected_s, score = self._score(state, work, cached, now, slowness)
            placement = Placement(state.entry, expected_s, cached, len(states), slowness)
            scored.append((score, placement))
        best = min(score for score, _ in scored)
        near = [found for score, found in scored if score <= best + self._settings.near_s]
        chosen = self._random.choice(near)
        if chosen.entry.zone in self._cuts:
            self._cuts[chosen.entry.zone].note_trial(now)
        return chosen

    def sent(self, placement: Placement, request_id: str, work: Work, now: float) -> None:
        """Note that a request was sent."""
        state = self._state(placement.entry, now)
        if not state.flights:
            state.heard_at = now
        unread = max(0, work.prompt_tokens - placement.cached_tokens)
        state.flights[request_id] = _Flight(now, placement.expected_s, unread, placement.slowness)
        chain = ""
        for part in work.parts:
            chain = f"{chain}/{part.id}"
            state.parts[chain] = now
            state.parts.move_to_end(chain)
        while len(state.parts) > MAX_PARTS:
            state.parts.popitem(last=False)

    def heard(self, entry_id: str, request_id: str, now: float) -> None:
        """Note that bytes of an answer came."""
        state = self._states.get(entry_id)
        if state is None:
            return
        state.heard_at = now
        self._cuts.pop(state.entry.zone, None)
        flight = state.flights.get(request_id)
        if flight is not None and flight.first_at is None:
            flight.first_at = now
            state.answered_to = max(state.answered_to, flight.sent_at)
            ratio = (now - flight.sent_at) / max(0.005, flight.expected_s)
            seen = min(flight.slowness * ratio, MOST_SLOWNESS)
            slowness = flight.slowness + SLOWNESS_GAIN * (seen - flight.slowness)
            state.slowness = min(max(slowness, LEAST_SLOWNESS), MOST_SLOWNESS)

    def take_load(self, entry_id: str, running: int, waiting: int, now: float) -> None:
        """Take an endpoint's word on its load; it counts the request just answered."""
        state = self._states.get(entry_id)
        if state is not None:
            state.others = max(0.0, float(running + waiting - len(state.flights)))
            state.others_at = now

    def ended(self, entry_id: str, request_id: str, now: float, failed: bool | None) -> None:
        """Note how a request ended; `failed` is None when that says nothing of the endpoint."""
        state = self._states.get(entry_id)
        if state is None or state.flights.pop(request_id, None) is None or failed is None:
            return
        self._decay(state, now)
        state.samples += 1
        if failed:
            state.failures += 1
        else:
            state.ejections = 0
            state.heard_at = now

    def unreachable(self, entry_id: str, now: float, silent: bool = False) -> None:
        """Note that no connection could be opened; `silent` when there was no answer at all.

        Silence of two endpoints of another availability zone is taken for a cut of the zone.
        """
        state = self._states.get(entry_id)
        if state is None:
            return
        if silent and state.entry.zone != self._zone:
            self._cuts.setdefault(state.entry.zone, _Cut()).note(entry_id, now, self._settings)
        if now < state.ejected_until:
            return
        pause_s = self._settings.eject_s * 2**state.ejections
        state.ejected_until = now + min(pause_s, self._settings.longest_eject_s)
        state.ejections += 1

    def full(self, entry_id: str, now: float, pause_s: float) -> None:
        """Note that an endpoint turned a request away because it is full."""
        state = self._states.get(entry_id)
        if state is not None:
            state.ejected_until = max(state.ejected_until, now + pause_s)

    def retain(self, ids: Collection[str]) -> None:
        """Forget endpoints that are not among `ids` and have nothing in flight."""
        for entry_id in [i for i, s in self._states.items() if i not in ids and not s.flights]:
            del self._states[entry_id]

    def in_flight(self, entry_id: str) -> int:
        """Return the number of own requests at an endpoint."""
        state = self._states.get(entry_id)
        return len(state.flights) if state else 0

    def _state(self, entry: Entry, now: float) -> _State:
        state = self._states.get(entry.id)
        if state is None or (state.entry.address, state.entry.born) != (entry.address, entry.born):
            state = self._states[entry.id] = _State(entry, heard_at=now, outcomes_at=now)
            state.cold_until = now + entry.cold_s
        state.entry = entry
        return state

    def _usable(self, states: list[_State], now: float) -> list[_State]:
        """Leave out endpoints that can't be reached or are silent, unless most would be out."""
        cut = {zone for zone, found in self._cuts.items() if now < found.until}
        near = [s for s in states if s.entry.zone not in cut]
        states = near or states
        good = [s for s in states if now >= s.ejected_until and not self._is_silent(s, now)]
        if len(good) >= len(states) * (1 - MAX_EJECTED_SHARE):
            return good
        reachable = [s for s in states if now >= s.ejected_until]
        return good or reachable or states

    def _is_silent(self, state: _State, now: float) -> bool:
        if not state.flights or now - state.heard_at <= self._settings.silence_s:
            return False
        oldest = min(f.sent_at for f in state.flights.values())
        return now - oldest > self._settings.silence_s

    def _cached_tokens(self, state: _State, work: Work, now: float, is_home: bool) -> int:
        if is_home:
            return sum(part.tokens for part in work.parts)
        chain, tokens = "", 0
        for part in work.parts:
            chain = f"{chain}/{part.id}"
            if now - state.parts.get(chain, float("-inf")) > self._settings.cache_s:
                break
            tokens += part.tokens
        return tokens

    def _slowness(self, state: _State, now: float, best: float) -> float:
        """Return the slowness to expect.

        What was learned of an endpoint fades while it gets no work, so that it is tried again.
        """
        known = 0.5 ** (max(0.0, now - state.heard_at) / self._settings.slowness_half_s)
        slowness = best + known * (state.slowness - best)
        return slowness * (COLD_SLOWNESS if now < state.cold_until else 1.0)

    def _score(
        self, state: _State, work: Work, cached: int, now: float, slowness: float
    ) -> tuple[float, float]:
        """Return the expected time and the figure to be compared, in seconds."""
        settings = self._settings
        waiting = sum(f.unread_tokens for f in state.flights.values() if f.first_at is None)
        others = state.others if now - state.others_at < settings.load_fresh_s else 0.0
        busy = len(state.flights) + others
        excess = max(0.0, busy + 1 - state.entry.slots) / state.entry.slots
        unread = max(0, work.prompt_tokens - cached)
        read_s = unread / settings.prefill_tokens_per_s
        queue_s = waiting / settings.prefill_tokens_per_s + excess * settings.base_s
        share = busy / state.entry.slots
        expected_s = slowness * (settings.base_s * (1 + share) + queue_s + read_s)
        expected_s = max(expected_s, state.longest_wait_s(now))
        self._decay(state, now)
        failing = state.failures / (state.samples + PRIOR_SAMPLES)
        shared_unread = max(0, sum(part.tokens for part in work.parts) - cached)
        again_s = settings.affinity * shared_unread / settings.prefill_tokens_per_s
        away_s = 0.0 if state.entry.zone == self._zone else settings.other_zone_s
        return expected_s, expected_s + again_s + away_s + failing * settings.failure_s

    def _decay(self, state: _State, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - state.outcomes_at) / self._settings.outcome_half_s)
        state.failures *= kept
        state.samples *= kept
        state.outcomes_at = now


def _home(work: Work, ids: list[str]) -> str | None:
    """Return the endpoint that all hosts prefer for the session of a request."""
    if not work.parts:
        return None
    return first_by_rank(work.parts[-1].id, ids)
