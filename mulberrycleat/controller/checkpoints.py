"""Schedule of the checkpoints of the manifest."""

from __future__ import annotations

import hashlib

from mulberrycleat.manifest import StreamFold

__all__ = ["CheckpointSchedule"]

MAX_CHANGES_BETWEEN = 1000
STEPS_PER_PERIOD = 100
ZONE_STEPS = 10


class CheckpointSchedule:
    """Decide when this host writes a checkpoint; spread the hosts of a fleet over time.

    Once a checkpoint is due, the host of rank 0 in its zone writes first; the others follow one
    after another only if no new checkpoint appears in the stream. Zones start at different times,
    so that usually one zone writes. Two checkpoints written at the same time do no harm.

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
        """Return the name of the task to write the next checkpoint, by which hosts are ranked."""
        return f"checkpoint after {fold.checkpoint[1].id if fold.checkpoint else 'none'}"

    def due(self, fold: StreamFold, rank: int, now: float) -> bool:
        """Return whether the host of `rank` in its zone has to write at `now` (Unix seconds)."""
        if not fold.complete or fold.state.version == 0:
            return False
        return now >= self._due_at(fold, now) + self._delay_s(fold, rank)

    def record_failure(self, now: float) -> None:
        """Record that a write failed; this host's next attempt is delayed from `now` on."""
        self._failed_at = now

    def _due_at(self, fold: StreamFold, now: float) -> float:
        if fold.checkpoint is None:
            return max(self._noticed_at(("", False), now), self._failed_at)
        written_at, checkpoint = fold.checkpoint
        if fold.state.version - checkpoint.snapshot.version >= MAX_CHANGES_BETWEEN:
            return max(self._noticed_at((checkpoint.id, True), now), self._failed_at)
        return max(written_at + self._every_s, self._failed_at)

    def _noticed_at(self, cause: tuple[str, bool], now: float) -> float:
        """Return when `cause`, a reason to write before the regular time, was first seen.

        It consists of the id of the last checkpoint, empty if there is none, and whether too many
        changes followed that checkpoint.
        """
        if cause != self._early_cause:
            self._early_cause, self._early_since = cause, now
        return self._early_since

    def _delay_s(self, fold: StreamFold, rank: int) -> float:
        name = f"{self.task(fold)} {self._zone}".encode()
        zone_fraction = hashlib.blake2b(name, digest_size=1).digest()[0] / 255
        return (rank + zone_fraction * ZONE_STEPS) * self._every_s / STEPS_PER_PERIOD
