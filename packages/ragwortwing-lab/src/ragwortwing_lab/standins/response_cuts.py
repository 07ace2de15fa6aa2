"""Places at which a stand-in ends its connection within a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .http_server import ResponseCut

if TYPE_CHECKING:
    from collections.abc import Callable

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"


def _after(head: bytes, text: bytes, more: int = 0) -> int:
    return head.index(text) + len(text) + more


HEAD_PLACES: dict[str, Callable[[bytes], int]] = {
    "before the status line": lambda head: 0,
    "within the status line": lambda head: 10,
    "after the status": lambda head: 12,
    "after the status line": lambda head: _after(head, LINE_END),
    "within a header name": lambda head: _after(head, LINE_END, 3),
    "within a header value": lambda head: _after(head, b": ", 2),
    "after a header line": lambda head: len(b"".join(head.splitlines(keepends=True)[:2])),
    "within the framing": lambda head: head.rindex(b": ") + 2,
    "after the framing": lambda head: head.rindex(HEAD_END),
    "after a lone CR": lambda head: head.rindex(HEAD_END) + 1,
    "before the empty line": lambda head: head.rindex(HEAD_END) + 2,
    "within the empty line": lambda head: head.rindex(HEAD_END) + 3,
}
"""How many bytes of a head are sent. The header that frames the body is its last one."""


def head_cut(place: str, *, resets: bool) -> ResponseCut:
    """Return a cut within the head of each response, at a place of `HEAD_PLACES`."""

    def find(response: bytes) -> int:
        head = response[: response.index(HEAD_END) + len(HEAD_END)]
        return HEAD_PLACES[place](head)

    return ResponseCut(find, resets)


def cut_after(text: bytes, *, resets: bool, more: int = 0) -> ResponseCut:
    """Return a cut behind the first occurrence of a text in each response.

    Args:
        text: The text.
        resets: Whether the connection ends with a TCP reset.
        more: Bytes between the text and the cut.
    """

    def find(response: bytes) -> int:
        size = response.find(text) + len(text) + more
        return size if text in response and size <= len(response) else -1

    return ResponseCut(find, resets)
