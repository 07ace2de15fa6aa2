"""Tests the load generator: schedule, answer verification and report."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from ragwortwing_lab.load.answer_check import AnswerFault, prompt_of, read_stream
from ragwortwing_lab.load.caller import CallResult
from ragwortwing_lab.load.load_report import make_report
from ragwortwing_lab.load.traffic import DEMO_TRAFFIC, Arrival, schedule
from ragwortwing_lab.standins.generation import answer_text

PROMPT = prompt_of(7, 3)
WORDS = [f" {word}" for word in answer_text(PROMPT, 3).split()]
DONE = b"data: [DONE]\n\n"


def event(text: str, answer_id: str = "a") -> bytes:
    value = {"id": answer_id, "choices": [{"delta": {"content": text}}]}
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def outcome(kind: str) -> bytes:
    value = {"error": {"type": kind, "code": kind}}
    return b"event: outcome\ndata: " + msgspec.json.encode(value) + b"\n\n"


WHOLE = b"".join(map(event, WORDS))


@pytest.mark.parametrize(
    ("body", "fault"),
    [
        (WHOLE + outcome("completed") + DONE, AnswerFault.NONE),
        (b": keep-alive\n\n" + WHOLE + outcome("completed") + DONE, AnswerFault.NONE),
        (event(WORDS[0]) + outcome("failed") + DONE, AnswerFault.NONE),
        (event(WORDS[0]) + outcome("completed") + DONE, AnswerFault.TEXT),
        (event(WORDS[0]) + WHOLE + outcome("completed") + DONE, AnswerFault.TEXT),
        (event(" other") + outcome("failed") + DONE, AnswerFault.TEXT),
        (WHOLE + event("", "b") + outcome("completed") + DONE, AnswerFault.IDS),
        (WHOLE + DONE, AnswerFault.UNFINISHED),
        (WHOLE + outcome("completed"), AnswerFault.UNFINISHED),
    ],
)
def test_faults_of_a_stream_are_detected(body: bytes, fault: AnswerFault) -> None:
    assert read_stream(body, PROMPT, 3).fault == fault


def test_a_schedule_is_ordered_and_matches_its_rates() -> None:
    arrivals = schedule(DEMO_TRAFFIC, 200.0, seed=3)
    assert [each.index for each in arrivals] == list(range(len(arrivals)))
    assert [each.at for each in arrivals] == sorted(each.at for each in arrivals)
    expected = 200.0 * sum(each.rate for each in DEMO_TRAFFIC)
    assert abs(len(arrivals) - expected) < 4 * expected**0.5


def test_a_report_excludes_late_wrong_and_wasted_answers() -> None:
    arrival = Arrival(0, 0.0, DEMO_TRAFFIC[0], "key", 10)
    on_time = CallResult(arrival, "completed", tokens=10, first_token=0.1, between_tokens=0.02)
    late = replace(on_time, first_token=2.0)
    wrong = replace(on_time, fault=AnswerFault.TEXT)
    broken = CallResult(arrival, "failed", "backend_lost", tokens=5, wasted_tokens=5)
    report = make_report([on_time, late, wrong, broken], 10.0)
    chat = report.classes_by_name["chat"]
    assert (chat.calls, chat.completed, chat.attained) == (4, 2, 1)
    assert report.goodput_tokens == 2.0
    assert report.wasted_share == 0.2
    assert report.wrong_answers == 1
    assert report.counts_by_outcome == {"completed": 3, "failed/backend_lost": 1}
