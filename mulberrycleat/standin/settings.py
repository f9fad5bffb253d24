"""Settings of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from mulberrycleat.settings.model import Address, LogSettings, Seconds

__all__ = ["StandinSettings"]


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Settings of one stand-in.

    Attributes
    ----------
    kind : str
        Service that it stands in for. ``link`` forwards TCP to `target` and can be cut.
    listen : str
        Address to serve at, as ``ip:port``.
    target : str
        Address to which a link forwards connections.
    control : str
        Address at which a link's faults are set.
    retention_s : float
        Age at which the log's records expire, in seconds.
    appends_per_s : float
        Appends that the log accepts per second.
    list_lag_s : float
        Time after which a change of the host list becomes visible, in seconds.
    step_s : float
        Time of a decoding step of an engine that runs one request, in seconds.
    step_per_request_s : float
        Time that each further request adds to a step, in seconds.
    prefill_s_per_1000 : float
        Time to read 1,000 prompt tokens that are not cached, in seconds.
    max_batch : int
        Requests that an engine runs at once.
    cache_tokens : int
        Prompt tokens that an engine's prefix cache holds.
    load_lag_s : float
        Minimum age of the sample in an engine's load report, in seconds.
    cache_event_lag_s : float
        Age at which an engine's cache event becomes visible, in seconds.
    cache_event_gap : int
        Every `cache_event_gap`-th cache event is lost; 0 for no loss.
    checks_fencing : bool
        Whether an engine checks fencing: it refuses orders with an old fencing number and the
        requests of fenced holders.
    service_s : float
        Time that a plain service takes for a request, in seconds.
    model, model_version : str
        Model and version that an engine serves at the start.
    load_s : float
        Time that an engine takes to load a model, in seconds.
    weights : str
        Address of the weight store that an engine loads from; empty for none.
    weights_per_s : float
        Loads that the weight store serves per second.
    log : LogSettings
        Level and format of the process's own log lines.
    """

    kind: Literal["log", "hosts", "weights", "engine", "service", "link"]
    listen: Address
    target: str = ""
    control: str = ""
    retention_s: Seconds = 86400.0
    appends_per_s: Seconds = 500.0
    list_lag_s: float = 1.0
    step_s: Seconds = 0.01
    step_per_request_s: float = 0.0005
    prefill_s_per_1000: float = 0.05
    max_batch: int = 32
    cache_tokens: int = 50_000
    load_lag_s: float = 0.5
    cache_event_lag_s: float = 1.0
    cache_event_gap: int = 10
    checks_fencing: bool = True
    service_s: Seconds = 0.02
    model: str = ""
    model_version: str = ""
    load_s: float = 0.5
    weights: str = ""
    weights_per_s: Seconds = 0.5
    log: LogSettings = field(default_factory=LogSettings)
