"""Claims of idempotency keys: which submission may send an order, and the result for a repeat.

The claim stream consists of batches of claims and outcomes. The first claim of a key in log order
wins, so every reader reaches the same verdict without a conditional append. Keys are scoped by
client account. The winner may release the key only if it has not sent its order and never will.
Nothing else allows a second run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from .decoding import InvalidDataError, checked_decoder
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
"""Guaranteed lifetime of a key; it must be shorter than the log's retention."""

DEFAULT_CLOCK_SKEW = timedelta(minutes=5)
"""Maximum assumed difference between wall clocks."""

DEFAULT_KEY_LIMIT = 500_000
"""Maximum number of keys in memory; further claims are refused until older ones expire from the
log."""

ANSWER_LIMIT_BYTES = 8_192
"""Maximum length of a backend server's answer that is recorded with its outcome."""

FULL_RETRY_AFTER = timedelta(minutes=1)
"""Retry delay returned while the key limit is reached."""


class OrderKey(msgspec.Struct, frozen=True, array_like=True):
    """An idempotency key within its client account."""

    account: str
    key: str


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """One submission's claim of a key."""

    claim_id: str
    """Unique per submission; a claim that is appended again keeps its id."""
    order_key: OrderKey
    body_digest: bytes
    order_time: float = 0.0
    """Caller's time of the order in seconds since the epoch, or 0 if the caller gave none."""


class Settlement(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of a claim, written by its holder.

    The kind `not_run` releases the key: the holder did not send the order and never will.
    """

    claim_id: str
    order_key: OrderKey
    kind: OutcomeKind
    reason: str = ""
    status: int = 0
    """HTTP status of the backend server's answer, or 0 without an answer."""
    answer: bytes = b""
    """The backend server's answer if it is short enough to be recorded."""
    is_whole: bool = True
    """Whether the answer is included; False if it was too long."""
    content_type: str = ""


class ClaimBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """One record of the claim stream."""

    holder: str
    """Name and incarnation of the agent that made the claims."""
    written_at: float
    """Wall-clock time of the holder in seconds since the epoch."""
    claims: tuple[Claim, ...] = ()
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The recorded result of an order that ran."""

    outcome: Outcome
    status: int = 0
    """0 if there is no answer to replay."""
    answer: bytes = b""
    is_whole: bool = True
    """Whether the answer is included; False if it was too long to be recorded."""
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The winning claim of a key."""

    claim_id: str
    holder: str
    body_digest: bytes
    offset: int
    recorded: RecordedAnswer | None = None
    """None until an outcome is recorded."""


@dataclass(frozen=True, slots=True)
class Won:
    """The claim is the first of its key; only its holder may send the order."""

    claim_id: str
    order_key: OrderKey


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another claim of the key came first, and its outcome is not recorded yet."""

    first_claim_id: str


@dataclass(frozen=True, slots=True)
class AlreadySettled:
    """The order has already run; contains its first recorded outcome."""

    recorded: RecordedAnswer


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was claimed with a different body."""


ClaimVerdict = Won | AlreadyClaimed | AlreadySettled | KeyReused

_decode_batch = checked_decoder(msgspec.msgpack.Decoder(ClaimBatch).decode)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encode a batch as a record payload."""
    return msgspec.msgpack.encode(batch)


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Decode a record payload, or return None if it is not a valid batch."""
    try:
        return _decode_batch(payload)
    except InvalidDataError:
        return None


def settlement_of(
    claim_id: str,
    order_key: OrderKey,
    outcome: Outcome,
    status: int = 0,
    answer: bytes = b"",
    content_type: str = "",
) -> Settlement:
    """Create the settlement that records an outcome.

    Args:
        claim_id: The winning claim.
        order_key: The key it holds.
        outcome: The outcome of the order.
        status: The HTTP status of the backend server's answer.
        answer: The backend server's answer; omitted from the settlement if it is too long.
        content_type: The answer's content type.
    """
    if isinstance(outcome, Completed):
        return _with_answer(
            Settlement(claim_id, order_key, outcome.kind), status, answer, content_type
        )
    settlement = Settlement(claim_id, order_key, outcome.kind, str(outcome.reason))
    if isinstance(outcome, Failed):
        return _with_answer(settlement, status, answer, content_type)
    # A partial answer of an unknown outcome is omitted, as it would look like a complete one.
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
    """Return the recorded answer of a settlement."""
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
    """Folds the claim stream; its size is bounded by the log's retention and a key limit."""

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
        """Return the winning claim of a key, or None."""
        return self._records_by_key.get(order_key)

    def apply(self, offset: int, payload: bytes) -> ClaimBatch | None:
        """Fold the record at an offset; an offset before the current position is ignored.

        Returns:
            The folded batch, or None if the record was ignored or could not be decoded.
        """
        if offset < self._position:
            return None
        self._position = offset + 1
        batch = decode_batch(payload)
        if batch is None:
            return None
        self._newest_written_at = max(self._newest_written_at, batch.written_at)
        # Settlements are applied first: a batch may release a key and claim it again.
        for settlement in batch.settlements:
            self._apply_settlement(settlement)
        for claim in batch.claims:
            self._apply_claim(claim, batch.holder, offset)
        return batch

    def forget_before(self, first_offset: int) -> None:
        """Remove the keys whose claims have expired from the log."""
        while self._records_by_key:
            oldest = next(iter(self._records_by_key.values()))
            if oldest.offset >= first_offset:
                break
            self._records_by_key.popitem(last=False)
        self._position = max(self._position, first_offset)

    def admit(self, order_time: float, now: datetime) -> NotRun | None:
        """Return why a new claim is refused, or None if it is allowed.

        A key whose first claim has expired from the log would look new. Its order time shows that
        it is not, because it is older than the window, which is shorter than the retention. A time
        in the future is refused too: it would still be in the window after the claim has expired.

        Args:
            order_time: Caller's time of the order, or 0 if the caller gave none.
            now: The current wall-clock time.
        """
        if len(self._records_by_key) >= self._key_limit:
            return NotRun(NotRunReason.OVERLOADED, FULL_RETRY_AFTER)
        if not order_time:
            return None
        # With a clock that is behind, an old key would look recent and its order would run again.
        # The newest time that any holder wrote to the log guards against that. A clock that is
        # ahead only causes too many refusals.
        seconds_now = max(now.timestamp(), self._newest_written_at)
        if order_time < seconds_now - self._window.total_seconds():
            return NotRun(NotRunReason.KEY_OUT_OF_WINDOW)
        if order_time > seconds_now + self._clock_skew.total_seconds():
            return NotRun(NotRunReason.KEY_OUT_OF_WINDOW)
        return None

    def verdict_on(self, claim: Claim) -> ClaimVerdict | None:
        """Return the verdict on a claim, or None if its key is not claimed in the log."""
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

    def _apply_claim(self, claim: Claim, holder: str, offset: int) -> None:
        if claim.order_key not in self._records_by_key:
            record = KeyRecord(claim.claim_id, holder, claim.body_digest, offset)
            self._records_by_key[claim.order_key] = record

    def _apply_settlement(self, settlement: Settlement) -> None:
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
