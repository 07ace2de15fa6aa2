"""Tests of the JSON logs: one object a line, with the ids of its request and trace."""

from __future__ import annotations

from io import StringIO

import logbook
import msgspec
import trio

from ragwortwing_runtime.logs import JsonLinesHandler, LogContext, set_log_context


async def test_each_task_logs_its_own_request_and_trace_id() -> None:
    stream = StringIO()
    log = logbook.Logger("test")

    async def log_step(number: int) -> None:
        set_log_context(LogContext(f"request-{number}", f"trace-{number}"))
        await trio.lowlevel.checkpoint()
        log.info("Working", step=number)

    with JsonLinesHandler("entry-1", stream):
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(log_step, number)
    lines = [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]
    assert {(each["request_id"], each["trace_id"], each["step"]) for each in lines} == {
        (f"request-{number}", f"trace-{number}", number) for number in range(3)
    }
    assert {each["process"] for each in lines} == {"entry-1"}


def test_an_exception_and_an_unserializable_value_are_logged_on_one_line() -> None:
    stream = StringIO()
    with JsonLinesHandler("entry-1", stream):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logbook.Logger("test").exception("Broken", value={1, 2}, what=object)
    (line,) = stream.getvalue().splitlines()
    entry = msgspec.json.decode(line)
    assert (entry["level"], entry["message"]) == ("error", "Broken")
    assert "ValueError: two" in entry["exception"]
