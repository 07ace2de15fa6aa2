"""What callers saw of their requests."""

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
    """One HTTP answer, as far as it came."""

    entry: str
    status: int = 0
    request_id: str = ""
    outcomes: list[str] = field(default_factory=list)
    """Every outcome told; a whole answer tells exactly one."""
    reason: str = ""
    text: str = ""
    whole: bool = False
    """Whether the answer ended in good order and not by a broken connection."""
    timed_out: bool = False
    """Whether the caller gave up waiting."""

    @property
    def outcome(self) -> str:
        """The outcome told, empty where none or several were."""
        return self.outcomes[0] if len(self.outcomes) == 1 else ""


@dataclass(slots=True)
class ChatObservation:
    """A stream and its answer."""

    prompt: str
    tokens: int
    answer: Answer


@dataclass(slots=True)
class OrderObservation:
    """An order and the answers to each of its submissions."""

    key: str
    """Idempotency key; empty for an order that was submitted once without one."""
    answers: list[Answer] = field(default_factory=list)


def read_stream(body: bytes, answer: Answer) -> None:
    """Take text and outcomes out of a stream, which may have broken off."""
    for event in body.split(b"\n\n")[:-1]:
        if event.startswith(OUTCOME_EVENT):
            _take_outcome(event.removeprefix(OUTCOME_EVENT), answer)
        elif event.startswith(DATA_PREFIX) and event.removeprefix(DATA_PREFIX) != DONE:
            chunk = msgspec.json.decode(event.removeprefix(DATA_PREFIX), type=_ChunkEvent)
            answer.text += "".join(each.delta.content for each in chunk.choices)


def read_error(body: bytes, answer: Answer) -> None:
    """Take the outcome out of an error body."""
    told = msgspec.json.decode(body, type=OutcomeEnvelope).error
    answer.reason = told.code
    if told.type in set(OutcomeKind):
        answer.outcomes.append(told.type)


def _take_outcome(event: bytes, answer: Answer) -> None:
    told = msgspec.json.decode(event.removeprefix(DATA_PREFIX), type=OutcomeEnvelope).error
    answer.outcomes.append(told.type)
    answer.reason = told.code
