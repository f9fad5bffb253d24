"""When a host writes a checkpoint of the manifest."""

from __future__ import annotations

import hashlib

from mulberrycleat.manifest import StreamFold

__all__ = ["CheckpointSchedule"]

CHANGES_BETWEEN = 1000
STEPS_A_PERIOD = 100
ZONE_STEPS = 10


class CheckpointSchedule:
    """Spread the hosts of a fleet over the time after a checkpoint is due.

    The first host in the zone's order for the last checkpoint writes first; the others only if
    none shows up in the stream. Zones start at different times, so that mostly one of them writes.
    Two that write at once do no harm.

    Parameters
    ----------
    every_s : float
        Time between two checkpoints, in seconds.
    zone : str
        Availability zone of this host.
    """

    def __init__(self, every_s: float, zone: str) -> None:
        self._every_s = every_s
        self._zone = zone
        self._early_cause: tuple[str, bool] | None = None
        self._early_since = 0.0
        self._failed_at = 0.0

    def task(self, fold: StreamFold) -> str:
        """Return the name of the next checkpoint to be written."""
        return f"checkpoint after {fold.checkpoint[1].id if fold.checkpoint else 'none'}"

    def due(self, fold: StreamFold, rank: int, now: float) -> bool:
        """Return whether the host with `rank` in its zone is to write at `now` (Unix seconds)."""
        if not fold.complete or fold.state.version == 0:
            return False
        return now >= self._due_at(fold, now) + self._delay_s(fold, rank)

    def failed(self, now: float) -> None:
        """Note that a write failed; the hosts' next tries are spread out again."""
        self._failed_at = now

    def _due_at(self, fold: StreamFold, now: float) -> float:
        if fold.checkpoint is None:
            return max(self._since(("", False), now), self._failed_at)
        written_at, checkpoint = fold.checkpoint
        if fold.state.version - checkpoint.snapshot.version >= CHANGES_BETWEEN:
            return max(self._since((checkpoint.id, True), now), self._failed_at)
        return max(written_at + self._every_s, self._failed_at)

    def _since(self, cause: tuple[str, bool], now: float) -> float:
        if cause != self._early_cause:
            self._early_cause, self._early_since = cause, now
        return self._early_since

    def _delay_s(self, fold: StreamFold, rank: int) -> float:
        name = f"{self.task(fold)} {self._zone}".encode()
        zone_part = hashlib.blake2b(name, digest_size=1).digest()[0] / 255
        return (rank + zone_part * ZONE_STEPS) * self._every_s / STEPS_A_PERIOD
