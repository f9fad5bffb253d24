"""Client of the log service over HTTP."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog.model import Entry, Page
from mulberrycleat.settings import PlatformSettings
from mulberrycleat.web import BaseHttpClient

__all__ = ["HttpEventLog"]


class HttpEventLog:
    """:class:`~mulberrycleat.eventlog.EventLog` over HTTP.

    Parameters
    ----------
    settings : PlatformSettings
        Address and timeout of the log service.
    client : BaseHttpClient
        HTTP client that sends the requests.
    """

    def __init__(self, settings: PlatformSettings, client: BaseHttpClient) -> None:
        self._settings = settings
        self._client = client

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        """Append `records` as one write; return the first offset."""
        url = self._url(stream)
        timeout_s = self._settings.timeout_s
        match await self._client.send_json(
            "POST", url, {"records": records}, timeout_s=timeout_s, step=Step.APPEND
        ):
            case Ok({"offset": int(offset)}):
                return Ok(offset)
            case Ok(other):
                return Err(
                    PeerError(Step.APPEND, self._settings.log, f"unexpected answer: {other!r}")
                )
            case Err(error):
                return Err(error)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        """Return records from `offset` on, waiting up to `wait_s` seconds for the first."""
        url = f"{self._url(stream)}?from={offset}&wait_s={wait_s}"
        timeout_s = self._settings.timeout_s + wait_s
        match await self._client.send_json("GET", url, timeout_s=timeout_s, step=Step.READ):
            case Ok({"earliest": earliest, "next": after, "end": end, "records": records}):
                entries = tuple(Entry(r["offset"], r["at"], r["data"]) for r in records)
                return Ok(Page(earliest, after, end, entries))
            case Ok(other):
                return Err(
                    PeerError(Step.READ, self._settings.log, f"unexpected answer: {other!r}")
                )
            case Err(error):
                return Err(error)

    def _url(self, stream: str) -> str:
        return f"http://{self._settings.log}/v1/streams/{stream}/records"
