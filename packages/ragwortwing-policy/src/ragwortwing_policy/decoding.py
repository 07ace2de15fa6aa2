"""Decoding of data that another process wrote."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MAX_INT64 = (1 << 63) - 1

Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
"""Offset in a log. Larger numbers cannot be encoded in datagrams."""

Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64 - 1, le=MAX_INT64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
"""Number that a float holds exactly."""

Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1 << 53)]

MAX_CAUSE_LENGTH = 200
"""Maximum characters of the cause, which may quote the data."""


class InvalidDataError(Exception):
    """Data that cannot be decoded into the expected type."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause[:MAX_CAUSE_LENGTH]


def checked_decoder(decode: Callable[[bytes], T]) -> Callable[[bytes], T]:
    """Return a decoder that raises `InvalidDataError` for all data that it cannot decode.

    A codec reports most invalid data with an error of its own. Data that is nested too deeply
    exceeds the recursion limit instead, also in fields that are not decoded.

    Args:
        decode: Decodes data. It may raise any kind of `ValueError`.

    Example:
        >>> import msgspec
        >>> decode = checked_decoder(msgspec.json.Decoder(dict[str, int]).decode)
        >>> decode(b'{"a": 1}')
        {'a': 1}
        >>> decode(b'{"a": ' * 5000)
        Traceback (most recent call last):
            ...
        ragwortwing_policy.decoding.InvalidDataError: Expected `int`, got `object` - at `$[...]`
    """

    def decode_checked(data: bytes) -> T:
        try:
            return decode(data)
        except (ValueError, OverflowError, RecursionError) as error:
            raise InvalidDataError(str(error)) from error

    return decode_checked
