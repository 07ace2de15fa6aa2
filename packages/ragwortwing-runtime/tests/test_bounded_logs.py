"""Tests of the bounded log handler: limits on rate and memory, and writes that never block."""

from __future__ import annotations

import os

import logbook
import msgspec

from ragwortwing_runtime.bounded_logs import MAX_UNWRITTEN_BYTES, BoundedLinesHandler


class Pipe:
    """A pipe that is read only when `lines` is called."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self._partial_line = b""

    def lines(self) -> list[dict[str, object]]:
        data, self._partial_line = self._partial_line, b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += chunk
        *lines, self._partial_line = data.split(b"\n")
        return [msgspec.json.decode(line) for line in lines]


def test_lines_beyond_the_rate_limit_are_dropped_and_counted() -> None:
    """Guards against silent loss when a burst of requests exceeds the rate limit of the log.

    The next second reports the number of dropped lines.
    """
    pipe, now = Pipe(), [0.0]
    handler = BoundedLinesHandler("entry-1", pipe.writer, 10, lambda: now[0])
    log = logbook.Logger("test")
    with handler.applicationbound():
        for number in range(25):
            log.info("happened", number=number)
        log.warning("always logged")
        now[0] = 1.0
        log.info("later")
    lines = pipe.lines()
    assert [line["message"] for line in lines[:10]] == ["happened"] * 10
    assert [line["message"] for line in lines[10:]] == ["lines_left_out", "always logged", "later"]
    assert lines[10]["lines"] == handler.dropped_lines == 15


def test_a_stalled_reader_does_not_block_the_process() -> None:
    """Guards against a stalled event loop when the log collector hangs and the pipe is full."""
    pipe = Pipe()
    handler = BoundedLinesHandler("entry-1", pipe.writer, 1_000_000)
    log = logbook.Logger("test")
    with handler.applicationbound():
        for number in range(4_000):
            log.warning("happened", text="x" * 500, number=number)
        assert handler.dropped_lines > 0
        kept = pipe.lines()
        log.warning("read again")
        kept += pipe.lines()
    assert len(kept) * 500 < 2 * MAX_UNWRITTEN_BYTES


def test_a_line_contains_all_fields_and_the_process_name() -> None:
    pipe = Pipe()
    handler = BoundedLinesHandler("entry-1", pipe.writer)
    with handler.applicationbound():
        logbook.Logger("test").info("request_sent", request_id="r-1", backend="i-1")
    (line,) = pipe.lines()
    assert line["process"] == "entry-1"
    assert (line["message"], line["request_id"], line["backend"]) == ("request_sent", "r-1", "i-1")
