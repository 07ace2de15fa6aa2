"""Tests that only one holder may send the order of a key, whatever the order of events."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.order_claims import (
    ANSWER_LIMIT_BYTES,
    AlreadyClaimed,
    AlreadySettled,
    Claim,
    ClaimBatch,
    KeyReused,
    OrderKey,
    OrderLedger,
    RecordedAnswer,
    Won,
    encode_batch,
    recorded_answer,
    settlement_of,
)
from ragwortwing_policy.outcomes import (
    Completed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

KEY = OrderKey("suva-cakes", "wedding-1")
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def batch(*claims: Claim, holder: str = "desk-1", written_at: float = 0.0) -> bytes:
    return encode_batch(ClaimBatch(holder, written_at, claims))


def release(claim_id: str) -> bytes:
    settlement = settlement_of(claim_id, KEY, NotRun(NotRunReason.DEADLINE))
    return encode_batch(ClaimBatch("desk-1", 0.0, (), (settlement,)))


def test_claim_verdicts() -> None:
    ledger = OrderLedger()
    first, repeat = Claim("a", KEY, b"d"), Claim("b", KEY, b"d")
    ledger.apply(0, batch(first, repeat))
    assert ledger.verdict_on(first) == Won("a", KEY)
    assert ledger.verdict_on(repeat) == AlreadyClaimed("a")
    assert ledger.verdict_on(Claim("c", KEY, b"other")) == KeyReused()
    settled = encode_batch(
        ClaimBatch("desk-1", 0.0, (), (settlement_of("a", KEY, Completed(), 201, b"x"),))
    )
    ledger.apply(1, settled)
    assert ledger.verdict_on(repeat) == AlreadySettled(RecordedAnswer(Completed(), 201, b"x"))
    # A release after the outcome, or by a losing claim, does not release the key.
    ledger.apply(2, release("a"))
    ledger.apply(3, release("b"))
    assert isinstance(ledger.verdict_on(repeat), AlreadySettled)


def test_only_the_winner_can_release_a_key() -> None:
    """Guards against a second run after a losing claim released the key."""
    ledger = OrderLedger()
    ledger.apply(0, batch(Claim("a", KEY, b"d")))
    ledger.apply(1, release("b"))
    assert ledger.verdict_on(Claim("a", KEY, b"d")) == Won("a", KEY)
    ledger.apply(2, release("a"))
    assert ledger.verdict_on(Claim("a", KEY, b"d")) is None


def test_admission_uses_newest_time_in_log() -> None:
    """Guards against running an old order again on a VM whose clock is a day behind.

    The first claim has expired from the log, and the order time looks recent to the slow clock. The
    times that other holders wrote to the log show that it is not.
    """
    ledger = OrderLedger(window=timedelta(hours=6))
    yesterday = (NOW - timedelta(hours=20)).timestamp()
    assert ledger.admit(yesterday, NOW - timedelta(days=1) + timedelta(hours=5)) is None
    ledger.apply(0, batch(written_at=NOW.timestamp()))
    refused = ledger.admit(yesterday, NOW - timedelta(days=1) + timedelta(hours=5))
    assert refused == NotRun(NotRunReason.KEY_OUT_OF_WINDOW)


def test_ledger_is_bounded_by_log_and_key_limit() -> None:
    ledger = OrderLedger(key_limit=2)
    for offset in range(2):
        ledger.apply(offset, batch(Claim(f"c{offset}", OrderKey("a", f"k{offset}"), b"d")))
    refused = ledger.admit(0.0, NOW)
    assert refused is not None
    assert refused.reason is NotRunReason.OVERLOADED
    ledger.forget_before(1)
    assert len(ledger) == 1
    assert ledger.admit(0.0, NOW) is None


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.booleans()), min_size=1, max_size=25),
    st.integers(0, 25),
)
def test_key_has_one_winner_until_it_is_released(
    records: list[tuple[int, bool]], split: int
) -> None:
    """Repeated claims and releases by winners and losers, in any order and read in any batches."""
    whole, in_batches = OrderLedger(), OrderLedger()
    payloads = [
        release(str(claim)) if released else batch(Claim(str(claim), KEY, b"d"))
        for claim, released in records
    ]
    current_winner: str | None = None
    for offset, payload in enumerate(payloads):
        whole.apply(offset, payload)
        winners = [
            n for n in range(6) if whole.verdict_on(Claim(str(n), KEY, b"d")) == Won(str(n), KEY)
        ]
        assert len(winners) <= 1
        claim, released = records[offset]
        if current_winner is not None and not (released and str(claim) == current_winner):
            assert winners == [int(current_winner)]
        current_winner = str(winners[0]) if winners else None
    for offset, payload in [*enumerate(payloads[:split]), *enumerate(payloads)]:
        in_batches.apply(offset, payload)
    assert in_batches.get(KEY) == whole.get(KEY)


@pytest.mark.parametrize(
    ("outcome", "answer", "expected"),
    [
        (Completed(), b"x", RecordedAnswer(Completed(), 201, b"x", True, "a/b")),
        (
            Completed(),
            b"x" * (ANSWER_LIMIT_BYTES + 1),
            RecordedAnswer(Completed(), 201, b"", False, "a/b"),
        ),
        (
            Unknown(UnknownReason.BACKEND_LOST),
            b"the first ha",
            RecordedAnswer(Unknown(UnknownReason.BACKEND_LOST)),
        ),
    ],
)
def test_only_complete_answers_are_replayed(
    outcome: Outcome, answer: bytes, expected: RecordedAnswer
) -> None:
    """Guards against replaying a partial answer as a complete one."""
    assert recorded_answer(settlement_of("a", KEY, outcome, 201, answer, "a/b")) == expected
