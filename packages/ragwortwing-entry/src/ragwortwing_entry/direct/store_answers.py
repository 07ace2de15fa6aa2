"""Decodes answers of the store, which contain names that any process may have written."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

from .decision_log import warned
from .store_port import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

_ESCAPE = re.compile(
    r"(\\u[dD][89abAB][\da-fA-F]{2}\\u[dD][c-fC-F][\da-fA-F]{2}"  # a pair of surrogates
    r"|\\[^u]|\\u(?![dD][89a-fA-F]))"
    r"|\\u[\da-fA-F]{4}"
)


def decode_answer(call: str, data: bytes, kind: type[T]) -> T:
    r"""Decode the JSON of an answer.

    Text that is invalid in Unicode, such as a key of another writer, contains U+FFFD instead.

    Raises:
        StoreError: The answer is invalid.

    Example:
        >>> decode_answer("call", b'["\\ud800", "\\u0061", "\\ud83c\\udf3f"]', list[str])
        ['�', 'a', '🌿']
    """
    decode = checked_decoder(msgspec.json.Decoder(kind).decode)
    try:
        return decode(data)
    except InvalidDataError:
        text = data.decode("utf-8", "replace")
        data = _ESCAPE.sub(lambda found: found[1] or "\\ufffd", text).encode()
    try:
        return decode(data)
    except InvalidDataError as error:
        raise StoreError(call, f"invalid answer: {error.cause}", 200) from error


_decode_rows = checked_decoder(msgspec.json.Decoder(list[msgspec.Raw]).decode)
_decode_row = checked_decoder(msgspec.json.Decoder(tuple[str, int, str | None, int | None]).decode)


def owner_names(call: str, data: bytes) -> Iterator[str]:
    """Yield the members from rows of topic, partition, member and offset.

    A row that cannot be decoded names no member.

    Raises:
        StoreError: The answer is invalid.
    """
    unreadable = 0
    for value in decode_answer(call, data, dict[str, msgspec.Raw]).values():
        try:
            rows = _decode_rows(bytes(value))
        except InvalidDataError:
            continue
        for row in rows:
            try:
                _, _, member, _ = _decode_row(bytes(row))
            except InvalidDataError:
                unreadable += 1
                continue
            if member:
                yield member
    if unreadable:
        warned("owner_rows_unreadable", call=call, rows=unreadable)
