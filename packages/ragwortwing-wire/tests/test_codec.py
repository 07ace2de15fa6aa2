"""Tests of the codec: messages round-trip, and invalid bytes give a typed error."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.outcomes import (
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.reservations import LoadReport
from ragwortwing_policy.routing import BackendKind
from ragwortwing_wire import messages as m
from ragwortwing_wire.codec import (
    MAX_FRAME_BYTES,
    FrameTooLargeError,
    MalformedFrame,
    MalformedReason,
    decode,
    encode,
)

SECOND = timedelta(seconds=1)
MESSAGES = [
    m.EntryHello("entry-1", "suva", 7),
    m.AgentHello("agent-1", "suva", BackendKind.ENGINE, ("a", "b"), -1),
    m.Heartbeat(1, 2),
    m.Heartbeat(1, 2, LoadReport(1, 2, 3, SECOND, True), True),
    m.Reserve("r", "chat", "acc", "m", -SECOND, 5, 6, 2**64 - 1, 4, False, "key", b"\0", 1.5),
    m.Granted("r", SECOND),
    m.Refused("r", NotRun(NotRunReason.OVERLOADED, timedelta(0))),
    m.Refused("r", NotRun(NotRunReason.WITHDRAWN)),
    m.Refused("r", Unknown(UnknownReason.NO_RECORDED_OUTCOME)),
    m.Withdraw("r"),
    m.Submit("r", "POST", "/x", (m.Header(b"a", b"\xff"),), b"body", "tp", "dansé", 9),
    m.ResponseHead("r", 200, (m.Header(b"a", b"b"),)),
    m.Chunks((m.Chunk("r", 0, b"x", 1), m.Chunk("s", 2**40, b"", 0))),
    m.End("r", 3),
    m.End("r", 3, Failed(FailedReason.BACKEND_ERROR, 500), 1, 2),
    m.End("r", 3, Failed(FailedReason.STOPPED)),
    m.Credit("r", 1, 2),
    m.Attach("r", "acc", 1, 2),
    m.Detached("r"),
    m.ConfigurationRequest(-1),
    m.ConfigurationRecords((m.ConfigurationRecord(3, b"p"),)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_message_round_trips(message: m.Message) -> None:
    assert decode(encode(message)) == message


def test_round_trip_covers_every_message_type() -> None:
    assert {type(each) for each in MESSAGES} == set(m.Message.__args__)


def test_encode_rejects_a_message_that_is_too_large() -> None:
    with pytest.raises(FrameTooLargeError):
        encode(m.ConfigurationRecords((m.ConfigurationRecord(0, bytes(MAX_FRAME_BYTES)),)))


def test_list_longer_than_its_frame_is_malformed() -> None:
    """Guards against a small frame that declares a million empty records.

    Without the traversal limit the receiver builds them all and is killed when memory runs out.
    """
    frame = bytearray(encode(m.ConfigurationRecords(())))
    # The last word is the list's tag: the element count, then the size of an element, here 0.
    frame[-8:] = ((1 << 20) << 2).to_bytes(8, "little")
    assert isinstance(decode(bytes(frame)), MalformedFrame)


@given(st.binary(max_size=200))
@settings(derandomize=True, deadline=None)
def test_decode_returns_a_message_or_a_typed_error_for_any_bytes(data: bytes) -> None:
    decode(data)


@given(st.sampled_from(MESSAGES), st.data())
@settings(derandomize=True, deadline=None, max_examples=400)
def test_decode_returns_a_message_or_a_typed_error_for_damaged_frames(
    message: m.Message, data: st.DataObject
):
    frame = bytearray(encode(message))
    for _ in range(data.draw(st.integers(1, 4))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(st.integers(0, 255))
    decode(bytes(frame[: data.draw(st.integers(0, len(frame)))]))


def test_unknown_outcome_reason_is_malformed() -> None:
    frame = encode(m.Refused("r", Unknown(UnknownReason.TIMEOUT)))
    assert decode(frame.replace(b"timeout", b"tomeout")) == MalformedFrame(
        MalformedReason.BAD_VALUE
    )
