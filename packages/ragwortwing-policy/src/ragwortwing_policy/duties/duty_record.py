"""The log record that names the holder of a duty."""

from __future__ import annotations

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

FORMAT = 1
"""Version of the record format."""


class DutyRecordError(Exception):
    """A record that cannot be decoded or that is inconsistent with its offset in the log."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class DutyRecord(msgspec.Struct, frozen=True):
    """The holder of a duty and the duty's saved state."""

    holder: str
    """Name of the entry."""
    life: int
    """Start of its process in Unix milliseconds: a restarted process is a different holder."""
    fencing_token: int
    """Increases with each change of holder; derived from the offset of the holder's first
    record."""
    state: bytes
    """State of the duty, opaque to this module."""
    released: bool = False
    """Whether the holder has released the duty."""
    format: int = FORMAT

    def is_held_by(self, holder: str, life: int) -> bool:
        """Return whether the record names a process as the current holder."""
        return (self.holder, self.life) == (holder, life) and not self.released


_decode_record = checked_decoder(msgspec.json.Decoder(DutyRecord).decode)


def encode_record(record: DutyRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, offset: int) -> DutyRecord:
    """Decode a record.

    Args:
        data: The encoded record.
        offset: Offset of the record in the log.

    Raises:
        DutyRecordError: It cannot be decoded, or its fencing token is impossible at this offset.
    """
    try:
        record = _decode_record(data)
    except InvalidDataError as error:
        raise DutyRecordError(error.cause) from error
    if record.format != FORMAT:
        raise DutyRecordError(f"unsupported record format {record.format}")
    if not 0 < record.fencing_token <= offset + 1:
        raise DutyRecordError(
            f"fencing token {record.fencing_token} is impossible at offset {offset}"
        )
    return record
