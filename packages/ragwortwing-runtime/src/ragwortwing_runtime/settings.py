"""The settings of one process, read whole from its TOML file at start.

What the whole site shares (classes, accounts, models, presets) is not here but in the published
configuration; a settings file says where this process runs and whom it talks to.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Annotated, ClassVar

from ragwortwing_policy.routing import BackendKind

from .settings_reader import Address, Between, HttpUrl, LongerThan, Name

Text = Annotated[str, Name()]
"""A name of a VM, availability zone, model or service."""

PositiveDuration = Annotated[timedelta, LongerThan(timedelta(0))]
"""A duration above zero."""


LOOPBACK = Address("127.0.0.1", 0)


class LogLevel(StrEnum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services listen."""

    log: HttpUrl
    """Base URL of the append-only log service, which also keeps the list of VMs."""


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Logs and traces."""

    log_level: LogLevel = LogLevel.INFO
    collector: HttpUrl | None = None
    """Base URL of an OTLP/HTTP collector; without it no span leaves the process."""
    flush_interval: PositiveDuration = timedelta(seconds=2)
    """Time between two batches of spans."""
    span_buffer: Annotated[int, Between(1, 1_000_000)] = 4096
    """Finished spans kept for the next batch; the oldest are dropped first."""
    sample_ratio: Annotated[float, Between(0.0, 1.0)] = 1.0
    """Share of the requests without a trace of their own that are traced."""


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Connections between entry and agent."""

    rising_keys: ClassVar = ("heartbeat_interval", "heartbeat_timeout")

    heartbeat_interval: PositiveDuration = timedelta(milliseconds=500)
    heartbeat_timeout: PositiveDuration = timedelta(seconds=2)
    """Silence after which a connection is dropped and dialled anew."""
    redial_interval: PositiveDuration = timedelta(milliseconds=250)
    """Time between two attempts after the first one failed."""
    stream_window: Annotated[int, Between(1_024, 67_108_864)] = 262_144
    """Bytes of one answer that may be under way or held for a slow reader."""
    reattach_limit: PositiveDuration = timedelta(seconds=10)
    """How long a running answer is kept for a reader whose connection was lost."""


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """The planned stop."""

    limit: PositiveDuration = timedelta(seconds=120)
    """Time for requests in flight to finish; what still runs then is cut and named in the log."""
    leaving_delay: timedelta = timedelta(0)
    """Time for which an entry that is not ready any more still takes requests, so that the balancer
    can notice."""


@dataclass(frozen=True, slots=True)
class EntryListenSettings:
    """Where an entry listens."""

    http: Address
    """Address for callers; port 0 lets the kernel choose."""
    operator: Address = LOOPBACK
    """Address for the operator's commands, which callers must not reach."""


@dataclass(frozen=True, slots=True)
class RequestLimitSettings:
    """How much an entry takes from callers."""

    body_bytes: Annotated[int, Between(1, 1_073_741_824)] = 4_194_304
    header_bytes: Annotated[int, Between(1_024, 1_048_576)] = 32_768
    """Bytes of all header names and values of one request."""
    open_requests: Annotated[int, Between(1, 100_000)] = 2_000
    """Requests in flight in this process."""
    keep_alive_interval: PositiveDuration = timedelta(seconds=5)
    """Time between two comments in a stream that waits for its first token."""


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry."""

    name: Text
    zone: Text
    listen: EntryListenSettings
    platform: PlatformSettings
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    requests: RequestLimitSettings = field(default_factory=RequestLimitSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)


@dataclass(frozen=True, slots=True)
class AgentListenSettings:
    """Where an agent listens."""

    wire: Address
    """Address for entries; port 0 lets the kernel choose."""
    http: Address
    """Address for status, drain and metrics."""
    advertised: Address | None = None
    """Address under which entries reach the agent, where it is not the one it listens on."""


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """The backend server beside an agent."""

    rising_keys: ClassVar = ("initial_concurrency", "maximum_concurrency")

    address: Address
    kind: BackendKind
    targets: Annotated[tuple[Text, ...], Between(1, 1_000)]
    """Models, or services, that the backend server serves."""
    initial_concurrency: Annotated[int, Between(1, 10_000)] = 16
    """Requests run at one time before anything was learned."""
    maximum_concurrency: Annotated[int, Between(1, 10_000)] = 256
    connect_timeout: PositiveDuration = timedelta(seconds=2)
    fenced: bool = False
    """Whether the backend server refuses orders that carry an old fencing number."""


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent."""

    name: Text
    zone: Text
    listen: AgentListenSettings
    platform: PlatformSettings
    backend: BackendSettings
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
