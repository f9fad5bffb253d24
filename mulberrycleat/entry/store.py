"""Interface of the platform's store, as an entry host uses it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Result

from mulberrycleat.core import PeerError, Position
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.evacuations import Evacuation
from mulberrycleat.endpoint.reports import EndpointReport
from mulberrycleat.endpoint.stream_origins import OriginRecord
from mulberrycleat.entry.coordinators import HostEntry
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.routes import RouteMap

__all__ = [
    "AppendOutcome",
    "ReportUpdate",
    "DirectoryUpdate",
    "HostUpdate",
    "MapUpdate",
    "OriginUpdate",
    "RecordUpdate",
    "StateStore",
]


class MapUpdate(NamedTuple):
    """Result of a read of the route map.

    Attributes
    ----------
    next : Position or None
        Position to read from next; None if the route map comes from another host's memory.
    route_map : RouteMap or None
        Newest route map, None if there is no new one.
    faults : tuple of str
        Descriptions of what could not be decoded.
    evacuations : tuple of Evacuation
        Operators' orders to evacuate zones, and their ends. They are kept with the route map, and
        read with it.
    is_snapshot : bool
        Whether `evacuations` has all orders that the store has, rather than an update.
    """

    next: Position | None
    route_map: RouteMap | None
    faults: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    is_snapshot: bool = False


class DirectoryUpdate(NamedTuple):
    """Result of a read of the endpoints' directory.

    Attributes
    ----------
    next : Position or None
        Position to read from next; None if the entries come from another host's memory.
    is_snapshot : bool
        Whether `changes` is a snapshot of all entries, rather than an update.
    changes : tuple of (str, Entry or None)
        Ids with their entries, in the order of the store; None if the entry has been removed. One
        that can't be used is left out.
    lost : bool
        Whether the store no longer has all changes since the requested offset.
    faults : tuple of str
        Descriptions of what could not be decoded.
    as_of : Position or None
        Position up to which another host's memory has all changes, None if that is not known.
    """

    next: Position | None
    is_snapshot: bool
    changes: tuple[tuple[str, Entry | None], ...]
    lost: bool = False
    faults: tuple[str, ...] = ()
    as_of: Position | None = None


class RecordUpdate(NamedTuple):
    """Result of a read of the ledger.

    Attributes
    ----------
    next : Position or None
        Position to read from next; None leaves the ledger as it is.
    is_snapshot : bool
        Whether `records` is a snapshot with the newest record of each host, rather than an update.
    records : tuple of HolderRecord
        Records in the order of the store.
    faults : tuple of str
        Descriptions of what could not be decoded.
    """

    next: Position | None
    is_snapshot: bool
    records: tuple[HolderRecord, ...]
    faults: tuple[str, ...] = ()


class HostUpdate(NamedTuple):
    """Result of a read of the roster of entry hosts.

    Attributes
    ----------
    next : Position or None
        Position to read from next; None if the entries come from another host's memory.
    is_snapshot : bool
        Whether `entries` has the newest entry of each host, rather than an update.
    entries : tuple of HostEntry
        Entries in the order of the store.
    faults : tuple of str
        Descriptions of what could not be decoded.
    """

    next: Position | None
    is_snapshot: bool
    entries: tuple[HostEntry, ...]
    faults: tuple[str, ...] = ()


class ReportUpdate(NamedTuple):
    """Result of a read of the hosts' reports on endpoints.

    Attributes
    ----------
    next : Position
        Position to read from next.
    records : tuple of (Position, EndpointReport)
        Positions and records, in the order of the store.
    faults : tuple of str
        Descriptions of what could not be decoded.
    """

    next: Position
    records: tuple[tuple[Position, EndpointReport], ...]
    faults: tuple[str, ...] = ()


class OriginUpdate(NamedTuple):
    """Result of a read of the origins of streams.

    Attributes
    ----------
    next : Position
        Position to read from next.
    records : tuple of OriginRecord
        Records in the order of the store.
    at_end : bool
        Whether there were no more records when the store answered.
    faults : tuple of str
        Descriptions of what could not be decoded.
    """

    next: Position
    records: tuple[OriginRecord, ...]
    at_end: bool
    faults: tuple[str, ...] = ()


class AppendOutcome(NamedTuple):
    """Result of a conditional append.

    Attributes
    ----------
    done : bool
        Whether the record was appended.
    position : Position
        Position of the record, or of the end of the log if the record was not appended.
    """

    done: bool
    position: Position


class StateStore(Protocol):
    """The platform's store. Reads take the position to read from, None for a first read.

    The store may be restored from an older copy. Positions from before that are not valid any more:
    a read from one of them returns a snapshot, or all reports that are kept, and nothing is
    appended at one of them.

    A call whose answer is missing or unusable returns a :class:`~mulberrycleat.core.PeerError`.
    """

    @property
    def arriving(self) -> bool:
        """Whether a part of an answer has arrived whose rest is still awaited."""
        ...

    async def read_map(
        self,
        position: Position | None,
        wait_s: float,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[MapUpdate, PeerError]:
        """Return the newest route map since `position`, waiting up to `wait_s` seconds for one.

        `on_answer` is called when an answer of the store itself, not through another host, begins
        to arrive.
        """
        ...

    async def read_entries(self, position: Position | None) -> Result[DirectoryUpdate, PeerError]:
        """Return changes of the endpoints' entries since `position`."""
        ...

    async def read_slices(
        self, shard: int, position: Position | None
    ) -> Result[RecordUpdate, PeerError]:
        """Return records of the hosts' slices of a shard since `position`."""
        ...

    async def append_slices(
        self, shard: int, record: HolderRecord, at: Position
    ) -> Result[AppendOutcome, PeerError]:
        """Append a record on condition that the log of the shard ends at position `at`."""
        ...

    async def read_hosts(self, position: Position | None) -> Result[HostUpdate, PeerError]:
        """Return the entries of entry hosts appended since `position`."""
        ...

    async def append_host(self, entry: HostEntry) -> Result[AppendOutcome, PeerError]:
        """Append the entry of an entry host."""
        ...

    async def read_reports(
        self, position: Position, wait_s: float
    ) -> Result[ReportUpdate, PeerError]:
        """Return reports on endpoints since `position`, waiting up to `wait_s` seconds for one.

        Reports that have expired are left out.
        """
        ...

    async def append_reports(
        self, host: str, records: tuple[EndpointReport, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append reports of a host; all of them or none."""
        ...

    async def read_origins(self, position: Position) -> Result[OriginUpdate, PeerError]:
        """Return origins of streams recorded since `position`.

        Records that have expired are left out.
        """
        ...

    async def append_origins(
        self, host: str, records: tuple[OriginRecord, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append origins of streams that began at a host; all of them or none."""
        ...
