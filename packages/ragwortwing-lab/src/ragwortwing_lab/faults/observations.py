"""Records of the responses that callers got, and their parsing."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ragwortwing_policy.outcomes import OutcomeKind

OUTCOME_EVENT = b"event: outcome\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"


class OutcomeBody(msgspec.Struct):
    """The outcome object of an error body or of a stream's last event."""

    type: str
    code: str = ""
    request_id: str = ""
    retry_after_ms: float | None = None


class OutcomeEnvelope(msgspec.Struct):
    """An error body."""

    error: OutcomeBody


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _ChunkEvent(msgspec.Struct):
    choices: list[_Choice] = []


@dataclass(slots=True)
class Answer:
    """One HTTP response, as far as it was received."""

    entry: str
    status: int = 0
    request_id: str = ""
    outcomes: list[str] = field(default_factory=list)
    """All outcomes reported; a complete response reports exactly one."""
    reason: str = ""
    text: str = ""
    is_complete: bool = False
    """Whether the response ended normally rather than by a broken connection."""
    timed_out: bool = False
    """Whether the caller timed out."""

    @property
    def outcome(self) -> str:
        """The reported outcome; empty if there is none or more than one."""
        return self.outcomes[0] if len(self.outcomes) == 1 else ""


@dataclass(slots=True)
class ChatObservation:
    """A streamed chat request and its response."""

    prompt: str
    tokens: int
    answer: Answer


@dataclass(slots=True)
class OrderObservation:
    """An order and the response to each of its submissions."""

    key: str
    """Idempotency key; empty for an order without one, which is submitted only once."""
    answers: list[Answer] = field(default_factory=list)


def read_stream(body: bytes, answer: Answer) -> None:
    """Read text and outcomes from a stream, which may be cut off."""
    for event in body.split(b"\n\n")[:-1]:
        if event.startswith(OUTCOME_EVENT):
            _read_outcome(event.removeprefix(OUTCOME_EVENT), answer)
        elif event.startswith(DATA_PREFIX) and event.removeprefix(DATA_PREFIX) != DONE:
            chunk = msgspec.json.decode(event.removeprefix(DATA_PREFIX), type=_ChunkEvent)
            answer.text += "".join(each.delta.content for each in chunk.choices)


def read_error(body: bytes, answer: Answer) -> None:
    """Read the reason and the outcome from an error body."""
    error_body = msgspec.json.decode(body, type=OutcomeEnvelope).error
    answer.reason = error_body.code
    if error_body.type in set(OutcomeKind):
        answer.outcomes.append(error_body.type)


def _read_outcome(event: bytes, answer: Answer) -> None:
    error_body = msgspec.json.decode(event.removeprefix(DATA_PREFIX), type=OutcomeEnvelope).error
    answer.outcomes.append(error_body.type)
    answer.reason = error_body.code
