"""Typed messages between entry and agent.

An entry dials an agent and keeps one connection to it; all requests between the two share it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from ragwortwing_policy.outcomes import Completed, Outcome
from ragwortwing_policy.reservations import LoadReport
from ragwortwing_policy.routing import BackendKind

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header, in bytes as it came."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class EntryHello:
    """First message of an entry on a connection."""

    entry_id: str
    """Name and incarnation of the entry."""
    zone: str
    revision: int
    """Configuration revision in force at the sender."""
    version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class AgentHello:
    """First message of an agent on a connection."""

    agent_id: str
    """Name and incarnation of the agent."""
    zone: str
    kind: BackendKind
    targets: tuple[str, ...]
    revision: int
    version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent both ways on every connection; an agent adds its load."""

    sequence: int
    revision: int
    load: LoadReport | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Reserve:
    """Entry to agent: asks for a slot. The body stays at the entry."""

    request_id: str
    request_class: str
    account: str
    target: str
    remaining: timedelta
    """Time left to the deadline; each side counts it on its own monotonic clock."""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    prefix_hash: int = 0
    resumed_tokens: int = 0
    idempotent: bool = True
    order_key: str = ""
    """Idempotency key of an order, scoped by the client account; empty for other requests."""
    body_digest: bytes = b""
    """Digest of an order's body, so that a key is not used for two bodies."""
    order_time: float = 0.0
    """Wall time, in seconds since the epoch, at which the caller says the order was made."""


@dataclass(frozen=True, slots=True)
class Granted:
    """Agent to entry: a slot is held; the body may be sent."""

    request_id: str
    lifetime: timedelta


@dataclass(frozen=True, slots=True)
class Refused:
    """Agent to entry: the request does not run here and has not run."""

    request_id: str
    outcome: Outcome
    """Usually `NotRun`; for an order whose key was used before, its recorded outcome."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Entry to agent: the reservation or the running request is no longer wanted."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Entry to agent: the body, sent to exactly one grant."""

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    traceparent: str = ""
    resume_text: str = ""
    """Text the caller already has, where an answer is resumed."""
    window: int = 262_144
    """Bytes the agent may send before more credit comes."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Agent to entry: status and headers of the backend server's answer."""

    request_id: str
    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of an answer."""

    request_id: str
    sequence: int
    """Rises by one with each piece of the request, so that none is lost or doubled on reattach."""
    data: bytes
    tokens: int = 0
    """Generated tokens in the piece."""


@dataclass(frozen=True, slots=True)
class Chunks:
    """Agent to entry: pieces of several answers in one frame, as an engine's step gives them."""

    chunks: tuple[Chunk, ...]


@dataclass(frozen=True, slots=True)
class End:
    """Agent to entry: the request's final outcome; `sequence` is one past the last piece."""

    request_id: str
    sequence: int
    outcome: Outcome = field(default_factory=Completed)
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Credit:
    """Entry to agent: pieces before `sequence` were delivered, and more bytes may be sent."""

    request_id: str
    sequence: int
    window: int


@dataclass(frozen=True, slots=True)
class Attach:
    """Entry to agent, on a new connection: goes on with a running request from `sequence`."""

    request_id: str
    account: str
    sequence: int
    window: int


@dataclass(frozen=True, slots=True)
class Detached:
    """Agent to entry: the request to attach is not known here, so its outcome is not known."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Either way: asks a peer for the configuration records from an offset on."""

    offset: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """One record of the configuration stream, as it stands in the log."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationRecords:
    """Either way: records a peer asked for; the receiver folds them itself."""

    records: tuple[ConfigurationRecord, ...]


Message = (
    EntryHello
    | AgentHello
    | Heartbeat
    | Reserve
    | Granted
    | Refused
    | Withdraw
    | Submit
    | ResponseHead
    | Chunks
    | End
    | Credit
    | Attach
    | Detached
    | ConfigurationRequest
    | ConfigurationRecords
)
