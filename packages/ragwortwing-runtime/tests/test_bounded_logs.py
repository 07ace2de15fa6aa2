"""Logs that stay bounded and never block."""

from __future__ import annotations

import os

import logbook
import msgspec

from ragwortwing_runtime.bounded_logs import MOST_UNWRITTEN_BYTES, BoundedLinesHandler


class Pipe:
    """A pipe whose reader reads when told to."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self._rest = b""

    def lines(self) -> list[dict[str, object]]:
        data, self._rest = self._rest, b""
        while True:
            try:
                piece = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += piece
        *lines, self._rest = data.split(b"\n")
        return [msgspec.json.decode(line) for line in lines]


def test_lines_beyond_the_budget_are_left_out_and_counted() -> None:
    """A burst of requests logs more than the budget; the next second says how many are missing."""
    pipe, now = Pipe(), [0.0]
    handler = BoundedLinesHandler("entry-1", pipe.writer, 10, lambda: now[0])
    log = logbook.Logger("test")
    with handler.applicationbound():
        for number in range(25):
            log.info("happened", number=number)
        log.warning("always told")
        now[0] = 1.0
        log.info("later")
    lines = pipe.lines()
    assert [line["message"] for line in lines[:10]] == ["happened"] * 10
    assert [line["message"] for line in lines[10:]] == ["lines_left_out", "always told", "later"]
    assert lines[10]["lines"] == handler.left_out == 15


def test_a_reader_that_does_not_read_never_blocks_the_process() -> None:
    """Whoever collects the logs hangs. The pipe fills; the loop with every request must go on."""
    pipe = Pipe()
    handler = BoundedLinesHandler("entry-1", pipe.writer, 1_000_000)
    log = logbook.Logger("test")
    with handler.applicationbound():
        for number in range(4_000):
            log.warning("happened", text="x" * 500, number=number)
        assert handler.left_out > 0
        kept = pipe.lines()
        log.warning("read again")
        kept += pipe.lines()
    assert len(kept) * 500 < 2 * MOST_UNWRITTEN_BYTES


def test_a_line_is_whole_and_names_its_process() -> None:
    pipe = Pipe()
    handler = BoundedLinesHandler("entry-1", pipe.writer)
    with handler.applicationbound():
        logbook.Logger("test").info("request_sent", request_id="r-1", backend="i-1")
    (line,) = pipe.lines()
    assert line["process"] == "entry-1"
    assert (line["message"], line["request_id"], line["backend"]) == ("request_sent", "r-1", "i-1")
