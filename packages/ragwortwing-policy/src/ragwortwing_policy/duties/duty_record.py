"""The record by which the log names the holder of a duty."""

from __future__ import annotations

import msgspec

FORMAT = 1
"""Version of the record's layout."""


class DutyRecordError(Exception):
    """A record that cannot be read, or that contradicts its place in the log."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class DutyRecord(msgspec.Struct, frozen=True):
    """Who holds a duty, and what the duty has decided so far."""

    holder: str
    """Name of the entry."""
    life: int
    """Start of its process, in Unix milliseconds: a restarted process is another holder."""
    fencing_token: int
    """Rises with each change of the holder; taken from the offset of the holder's first record."""
    state: bytes
    """The duty's own state."""
    released: bool = False
    """Whether the holder has given the duty up."""
    format: int = FORMAT

    def is_of(self, holder: str, life: int) -> bool:
        """Return whether a process holds the duty by this record."""
        return (self.holder, self.life) == (holder, life) and not self.released


def encode_record(record: DutyRecord) -> bytes:
    """Return a record as it stands in the log."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, offset: int) -> DutyRecord:
    """Read a record.

    Args:
        data: The record as it stands in the log.
        offset: Where it stands.

    Raises:
        DutyRecordError: It cannot be read, or claims a token that its place cannot have given.
    """
    try:
        record = msgspec.json.decode(data, type=DutyRecord)
    except msgspec.MsgspecError as error:
        raise DutyRecordError(str(error)) from error
    if record.format != FORMAT:
        raise DutyRecordError(f"format {record.format} is not known")
    if not 0 < record.fencing_token <= offset + 1:
        raise DutyRecordError(f"token {record.fencing_token} at offset {offset}")
    return record
