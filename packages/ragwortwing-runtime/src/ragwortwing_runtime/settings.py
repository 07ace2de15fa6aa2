"""Settings of one process, read from its TOML file at startup.

A settings file defines where a process runs and which services it connects to. What the whole site
shares (classes, accounts, models, presets) is in the published configuration instead.
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
"""Loopback address with a port chosen by the kernel."""


class LogLevel(StrEnum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services."""

    log: HttpUrl
    """Base URL of the append-only log service, which also keeps the list of VMs."""


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Logs and traces."""

    log_level: LogLevel = LogLevel.INFO
    collector: HttpUrl | None = None
    """Base URL of an OTLP/HTTP collector; without it no spans are exported."""
    flush_interval: PositiveDuration = timedelta(seconds=2)
    """Time between two exports of spans."""
    span_buffer: Annotated[int, Between(1, 1_000_000)] = 4096
    """Maximum number of finished spans kept for the next export; the oldest are dropped first."""
    sample_ratio: Annotated[float, Between(0.0, 1.0)] = 1.0
    """Fraction of the requests that are traced, of those that carry no trace context."""


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Connections between entries and agents."""

    rising_keys: ClassVar = ("heartbeat_interval", "heartbeat_timeout")

    heartbeat_interval: PositiveDuration = timedelta(milliseconds=500)
    """Time between two heartbeats on a connection."""
    heartbeat_timeout: PositiveDuration = timedelta(seconds=2)
    """Time without received data after which a connection is closed and opened again."""
    redial_interval: PositiveDuration = timedelta(milliseconds=250)
    """Time between two connection attempts after the first one failed."""
    stream_window: Annotated[int, Between(1_024, 67_108_864)] = 262_144
    """Maximum number of bytes of one answer in transit or buffered for a slow reader."""
    reattach_limit: PositiveDuration = timedelta(seconds=10)
    """How long a running answer is kept for an entry whose connection was lost."""


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Graceful shutdown."""

    limit: PositiveDuration = timedelta(seconds=120)
    """Time that requests in flight have to finish. Then they are aborted, and their ids logged."""
    leaving_delay: timedelta = timedelta(0)
    """Time for which an entry still accepts requests after it reports that it is not ready, so that
    the load balancer can notice."""


@dataclass(frozen=True, slots=True)
class EntryListenSettings:
    """Listen addresses of an entry."""

    http: Address
    """Address for callers; with port 0 the kernel chooses the port."""
    operator: Address = LOOPBACK
    """Address for the operator's commands. It must not be reachable by callers."""


@dataclass(frozen=True, slots=True)
class RequestLimitSettings:
    """Limits on the requests that an entry accepts."""

    body_bytes: Annotated[int, Between(1, 1_073_741_824)] = 4_194_304
    """Maximum size of a request body."""
    total_body_bytes: Annotated[int, Between(1_048_576, 1_099_511_627_776)] = 268_435_456
    """Size of all request bodies together beyond which further large ones wait to be read."""
    body_timeout: PositiveDuration = timedelta(seconds=60)
    """Time within which a request body has to be received."""
    send_timeout: PositiveDuration = timedelta(seconds=60)
    """Time without progress after which a caller that does not read its answer is disconnected."""
    header_bytes: Annotated[int, Between(1_024, 1_048_576)] = 32_768
    """Maximum total size of the header names and values of one request."""
    open_requests: Annotated[int, Between(1, 100_000)] = 2_000
    """Maximum number of requests in flight in this process."""
    open_connections: Annotated[int, Between(1, 1_000_000)] = 10_000
    """Maximum number of callers' connections; at most three quarters of the process's descriptors.
    Beyond it, a connection without a request in progress is closed for a new one."""
    keep_alive_interval: PositiveDuration = timedelta(seconds=5)
    """Time between two keep-alive comments in an event stream that waits for its first token."""


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
    """Listen addresses of an agent."""

    wire: Address
    """Address for entries; with port 0 the kernel chooses the port."""
    http: Address
    """Address for status, drain and metrics."""
    advertised: Address | None = None
    """Address at which entries reach the agent, if it differs from the listen address."""


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Backend server that an agent runs requests on."""

    rising_keys: ClassVar = ("initial_concurrency", "maximum_concurrency")

    address: Address
    kind: BackendKind
    targets: Annotated[tuple[Text, ...], Between(1, 1_000)]
    """Models, or services, that the backend server serves."""
    initial_concurrency: Annotated[int, Between(1, 10_000)] = 16
    """Concurrency limit at the start, before it is adapted to the backend server."""
    maximum_concurrency: Annotated[int, Between(1, 10_000)] = 256
    """Upper bound of the adaptive concurrency limit."""
    connect_timeout: PositiveDuration = timedelta(seconds=2)
    fenced: bool = False
    """Whether the backend server refuses orders with an outdated fencing number."""


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
