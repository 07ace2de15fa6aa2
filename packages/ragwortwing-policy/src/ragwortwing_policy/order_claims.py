"""Claims of idempotency keys: whose order may be sent, and what a repeat of a key is told.

The stream of claims holds batches of claims and outcomes. The first claim of a key in log order
wins, so every reader comes to the same verdict without a conditional append. Keys are scoped by
client account. A winner that certainly did not and will not send its order may release the key;
nothing else ever makes room for a second run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from .outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Unknown,
    UnknownReason,
)

if TYPE_CHECKING:
    from datetime import datetime

DEFAULT_WINDOW = timedelta(hours=6)
"""How long a key is remembered for certain; it must be shorter than the log's retention."""

DEFAULT_CLOCK_SKEW = timedelta(minutes=5)
"""How far wall clocks may be apart."""

DEFAULT_KEY_LIMIT = 500_000
"""Most keys held in memory; further claims are refused until older ones run out of the log."""

ANSWER_LIMIT_BYTES = 8_192
"""Longest answer of a backend server that is recorded with its outcome."""

FULL_RETRY_AFTER = timedelta(minutes=1)
"""When to come back while too many keys are held."""


class OrderKey(msgspec.Struct, frozen=True, array_like=True):
    """An idempotency key within its client account."""

    account: str
    key: str


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """One submission's claim of a key."""

    claim_id: str
    """Unique for each submission; a claim that is appended again keeps it."""
    order_key: OrderKey
    body_digest: bytes
    order_time: float = 0.0
    """When the caller says the order was made, in seconds since the epoch; 0 where it does not."""


class Settlement(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a claim ended, written by its holder.

    The kind `not_run` releases the key: the holder did not send the order and never will.
    """

    claim_id: str
    order_key: OrderKey
    kind: OutcomeKind
    reason: str = ""
    status: int = 0
    """HTTP status of the backend server's answer; 0 where there was none."""
    answer: bytes = b""
    """The backend server's answer, where it is short enough."""
    is_whole: bool = True
    """Whether the answer is here; False where it was too long."""
    content_type: str = ""


class ClaimBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """One record of the stream."""

    holder: str
    """Agent, with its incarnation, that made the claims."""
    written_at: float
    """Wall time of the holder in seconds since the epoch."""
    claims: tuple[Claim, ...] = ()
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """What is recorded of an order that ran."""

    outcome: Outcome
    status: int = 0
    """0 where there is no answer to give again."""
    answer: bytes = b""
    is_whole: bool = True
    """Whether the answer is here; False where it was too long to be recorded."""
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The winner of a key."""

    claim_id: str
    holder: str
    body_digest: bytes
    offset: int
    recorded: RecordedAnswer | None = None
    """None until an outcome was recorded."""


@dataclass(frozen=True, slots=True)
class Won:
    """The claim is the first of its key; its holder, and nobody else, may send the order."""

    claim_id: str
    order_key: OrderKey


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another claim of the key came first and no outcome of it is recorded yet."""

    first_claim_id: str


@dataclass(frozen=True, slots=True)
class AlreadySettled:
    """The order ran already; this is its first outcome."""

    recorded: RecordedAnswer


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was claimed with a different body."""


ClaimVerdict = Won | AlreadyClaimed | AlreadySettled | KeyReused

_decoder = msgspec.msgpack.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Return the payload of a batch."""
    return msgspec.msgpack.encode(batch)


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Return the batch of a payload, None if it is not one."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def settlement_of(
    claim_id: str,
    order_key: OrderKey,
    outcome: Outcome,
    status: int = 0,
    answer: bytes = b"",
    content_type: str = "",
) -> Settlement:
    """Return the settlement that records an outcome.

    Args:
        claim_id: The winning claim.
        order_key: The key it holds.
        outcome: How the order ended.
        status: The backend server's status.
        answer: The backend server's answer; left out where it is too long.
        content_type: The answer's content type.
    """
    if isinstance(outcome, Completed):
        return _with_answer(
            Settlement(claim_id, order_key, outcome.kind), status, answer, content_type
        )
    settlement = Settlement(claim_id, order_key, outcome.kind, str(outcome.reason))
    if isinstance(outcome, Failed):
        return _with_answer(settlement, status, answer, content_type)
    # What came of an answer before its outcome became unknown would look like a whole one.
    return settlement


def _with_answer(
    settlement: Settlement, status: int, answer: bytes, content_type: str
) -> Settlement:
    is_whole = len(answer) <= ANSWER_LIMIT_BYTES
    return msgspec.structs.replace(
        settlement,
        status=status,
        answer=answer if is_whole else b"",
        is_whole=is_whole,
        content_type=content_type,
    )


def recorded_answer(settlement: Settlement) -> RecordedAnswer:
    """Return what a settlement records."""
    return RecordedAnswer(
        _outcome_of(settlement),
        settlement.status,
        settlement.answer,
        settlement.is_whole,
        settlement.content_type,
    )


def _outcome_of(settlement: Settlement) -> Outcome:
    match settlement.kind:
        case OutcomeKind.COMPLETED:
            return Completed()
        case OutcomeKind.FAILED:
            return Failed(FailedReason(settlement.reason), settlement.status or None)
        case OutcomeKind.UNKNOWN:
            return Unknown(UnknownReason(settlement.reason))
        case OutcomeKind.NOT_RUN:
            return NotRun(NotRunReason(settlement.reason))


class OrderLedger:
    """The fold of the stream of claims; bounded by the log's retention and a limit on keys."""

    def __init__(
        self,
        window: timedelta = DEFAULT_WINDOW,
        clock_skew: timedelta = DEFAULT_CLOCK_SKEW,
        key_limit: int = DEFAULT_KEY_LIMIT,
    ) -> None:
        self._window = window
        self._clock_skew = clock_skew
        self._key_limit = key_limit
        self._records_by_key: OrderedDict[OrderKey, KeyRecord] = OrderedDict()
        self._position = 0
        self._newest_written_at = 0.0

    def __len__(self) -> int:
        return len(self._records_by_key)

    @property
    def position(self) -> int:
        """Return the offset of the next record."""
        return self._position

    def get(self, order_key: OrderKey) -> KeyRecord | None:
        """Return the winner of a key."""
        return self._records_by_key.get(order_key)

    def apply(self, offset: int, payload: bytes) -> ClaimBatch | None:
        """Fold the record at an offset; an offset seen before is passed over.

        Returns:
            The batch that was folded.
        """
        if offset < self._position:
            return None
        self._position = offset + 1
        batch = decode_batch(payload)
        if batch is None:
            return None
        self._newest_written_at = max(self._newest_written_at, batch.written_at)
        # A release comes before a new claim of its key, which may stand in the same batch.
        for settlement in batch.settlements:
            self._take_settlement(settlement)
        for claim in batch.claims:
            self._take_claim(claim, batch.holder, offset)
        return batch

    def forget_before(self, first_offset: int) -> None:
        """Forget the keys whose claims ran out of the log."""
        while self._records_by_key:
            oldest = next(iter(self._records_by_key.values()))
            if oldest.offset >= first_offset:
                break
            self._records_by_key.popitem(last=False)
        self._position = max(self._position, first_offset)

    def admit(self, order_time: float, now: datetime) -> NotRun | None:
        """Return why a new claim may not be made, None if it may.

        A key whose first claim ran out of the log would look new. The order's own time tells it: it
        is older than the window, which is shorter than the retention. A time in the future is
        refused too, since it would still be in the window when the claim has run out.

        Args:
            order_time: When the caller says the order was made; 0 where it does not.
            now: The wall time.
        """
        if len(self._records_by_key) >= self._key_limit:
            return NotRun(NotRunReason.OVERLOADED, FULL_RETRY_AFTER)
        if not order_time:
            return None
        # A clock that is behind would take an old key for a young one and run it again. The newest
        # time in the log, from all holders, shows it; a clock ahead only refuses too much.
        seconds_now = max(now.timestamp(), self._newest_written_at)
        if order_time < seconds_now - self._window.total_seconds():
            return NotRun(NotRunReason.KEY_OUT_OF_WINDOW)
        if order_time > seconds_now + self._clock_skew.total_seconds():
            return NotRun(NotRunReason.KEY_OUT_OF_WINDOW)
        return None

    def judge(self, claim: Claim) -> ClaimVerdict | None:
        """Return the verdict on a claim, None while its key is not in the log."""
        record = self._records_by_key.get(claim.order_key)
        if record is None:
            return None
        if record.claim_id == claim.claim_id:
            return Won(claim.claim_id, claim.order_key)
        if record.body_digest != claim.body_digest:
            return KeyReused()
        if record.recorded is not None:
            return AlreadySettled(record.recorded)
        return AlreadyClaimed(record.claim_id)

    def _take_claim(self, claim: Claim, holder: str, offset: int) -> None:
        if claim.order_key not in self._records_by_key:
            record = KeyRecord(claim.claim_id, holder, claim.body_digest, offset)
            self._records_by_key[claim.order_key] = record

    def _take_settlement(self, settlement: Settlement) -> None:
        record = self._records_by_key.get(settlement.order_key)
        if record is None or record.claim_id != settlement.claim_id or record.recorded is not None:
            return
        if settlement.kind is OutcomeKind.NOT_RUN:
            del self._records_by_key[settlement.order_key]
            return
        self._records_by_key[settlement.order_key] = KeyRecord(
            record.claim_id,
            record.holder,
            record.body_digest,
            record.offset,
            recorded_answer(settlement),
        )
