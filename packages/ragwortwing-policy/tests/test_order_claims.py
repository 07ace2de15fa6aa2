"""Whatever the interleaving of claims, losses and repeats, one holder may send a key's order."""

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


def test_verdicts() -> None:
    ledger = OrderLedger()
    first, repeat = Claim("a", KEY, b"d"), Claim("b", KEY, b"d")
    ledger.apply(0, batch(first, repeat))
    assert ledger.judge(first) == Won("a", KEY)
    assert ledger.judge(repeat) == AlreadyClaimed("a")
    assert ledger.judge(Claim("c", KEY, b"other")) == KeyReused()
    settled = encode_batch(
        ClaimBatch("desk-1", 0.0, (), (settlement_of("a", KEY, Completed(), 201, b"x"),))
    )
    ledger.apply(1, settled)
    assert ledger.judge(repeat) == AlreadySettled(RecordedAnswer(Completed(), 201, b"x"))
    # A release that comes after the outcome, or from a claim that lost, opens nothing.
    ledger.apply(2, release("a"))
    ledger.apply(3, release("b"))
    assert isinstance(ledger.judge(repeat), AlreadySettled)


def test_only_the_winner_can_release_its_key() -> None:
    ledger = OrderLedger()
    ledger.apply(0, batch(Claim("a", KEY, b"d")))
    ledger.apply(1, release("b"))
    assert ledger.judge(Claim("a", KEY, b"d")) == Won("a", KEY)
    ledger.apply(2, release("a"))
    assert ledger.judge(Claim("a", KEY, b"d")) is None


def test_admission_looks_at_the_newest_time_in_the_log() -> None:
    """A VM's clock is a day behind, and a family's app repeats yesterday's order through it.

    The claim of yesterday has run out of the log. By the slow clock the order's time is young; the
    time that other holders wrote into the log shows that it is not.
    """
    ledger = OrderLedger(window=timedelta(hours=6))
    yesterday = (NOW - timedelta(hours=20)).timestamp()
    assert ledger.admit(yesterday, NOW - timedelta(days=1) + timedelta(hours=5)) is None
    ledger.apply(0, batch(written_at=NOW.timestamp()))
    refused = ledger.admit(yesterday, NOW - timedelta(days=1) + timedelta(hours=5))
    assert refused == NotRun(NotRunReason.KEY_OUT_OF_WINDOW)


def test_state_is_bounded_by_the_log_and_by_the_key_limit() -> None:
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
def test_any_log_order_gives_one_winner_until_it_is_released(
    records: list[tuple[int, bool]], split: int
) -> None:
    """Repeats of a claim, releases by winners and losers, in any order and read in any portions."""
    whole, portions = OrderLedger(), OrderLedger()
    payloads = [
        release(str(claim)) if released else batch(Claim(str(claim), KEY, b"d"))
        for claim, released in records
    ]
    sending: str | None = None
    for offset, payload in enumerate(payloads):
        whole.apply(offset, payload)
        winners = [n for n in range(6) if whole.judge(Claim(str(n), KEY, b"d")) == Won(str(n), KEY)]
        assert len(winners) <= 1
        claim, released = records[offset]
        if sending is not None and not (released and str(claim) == sending):
            assert winners == [int(sending)]
        sending = str(winners[0]) if winners else None
    for offset, payload in [*enumerate(payloads[:split]), *enumerate(payloads)]:
        portions.apply(offset, payload)
    assert portions.get(KEY) == whole.get(KEY)


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
def test_only_a_whole_answer_is_given_again(
    outcome: Outcome, answer: bytes, expected: RecordedAnswer
) -> None:
    """A desk breaks off in mid-answer; a repeat must not get the half as the whole."""
    assert recorded_answer(settlement_of("a", KEY, outcome, 201, answer, "a/b")) == expected
