"""Types of the messages between an entry and an agent.

An entry opens one connection to each agent; all requests between the two share it.
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
    """An HTTP header, in the bytes as received."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class EntryHello:
    """Entry to agent: first message on a connection."""

    entry_id: str
    """Name and incarnation of the entry process."""
    zone: str
    revision: int
    """Configuration revision that the sender has in force."""
    version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class AgentHello:
    """Agent to entry: first message on a connection."""

    agent_id: str
    """Name and incarnation of the agent process."""
    zone: str
    kind: BackendKind
    targets: tuple[str, ...]
    revision: int
    version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Both directions: shows that the sender is alive; an agent includes its load."""

    sequence: int
    revision: int
    load: LoadReport | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Reserve:
    """Entry to agent: requests a slot. The body stays at the entry until a slot is granted."""

    request_id: str
    request_class: str
    account: str
    target: str
    remaining: timedelta
    """Time until the deadline; each side measures it with its own monotonic clock."""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    prefix_hash: int = 0
    resumed_tokens: int = 0
    idempotent: bool = True
    order_key: str = ""
    """Idempotency key of an order, scoped to its client account; empty for other requests."""
    body_digest: bytes = b""
    """Digest of an order's body, which detects a key that is reused for another body."""
    order_time: float = 0.0
    """Time at which the caller created the order, in Unix seconds, as the caller states it."""


@dataclass(frozen=True, slots=True)
class Granted:
    """Agent to entry: a slot is reserved; the entry may send the body."""

    request_id: str
    lifetime: timedelta


@dataclass(frozen=True, slots=True)
class Refused:
    """Agent to entry: the agent does not run the request and has not run it."""

    request_id: str
    outcome: Outcome
    """Usually `NotRun`; for an order whose key was already used, the recorded outcome."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Entry to agent: cancels a reservation or a running request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Entry to agent: the request with its body; sent to only one of the agents that granted."""

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    traceparent: str = ""
    resume_text: str = ""
    """When an answer is resumed: the text that the caller has already received."""
    window: int = 262_144
    """Bytes that the agent may send before it receives more credit."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Agent to entry: status and headers of the backend server's response."""

    request_id: str
    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a response body."""

    request_id: str
    sequence: int
    """Increases by one per chunk of a request, to detect lost or duplicate chunks on reattach."""
    data: bytes
    tokens: int = 0
    """Number of generated tokens in the chunk."""


@dataclass(frozen=True, slots=True)
class Chunks:
    """Agent to entry: chunks of several responses in one frame, as an engine step produces them."""

    chunks: tuple[Chunk, ...]


@dataclass(frozen=True, slots=True)
class End:
    """Agent to entry: the request's final outcome; `sequence` is one past the last chunk."""

    request_id: str
    sequence: int
    outcome: Outcome = field(default_factory=Completed)
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Credit:
    """Entry to agent: chunks before `sequence` were delivered; the agent may send more bytes."""

    request_id: str
    sequence: int
    window: int


@dataclass(frozen=True, slots=True)
class Attach:
    """Entry to agent, on a new connection: resumes a running request from `sequence`."""

    request_id: str
    account: str
    sequence: int
    window: int


@dataclass(frozen=True, slots=True)
class Detached:
    """Agent to entry: the agent does not know the request to attach; its outcome is unknown."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Both directions: requests configuration records, starting at an offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A record of the configuration stream, as stored in the log."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationRecords:
    """Both directions: the requested records; the receiver derives the configuration from them."""

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
