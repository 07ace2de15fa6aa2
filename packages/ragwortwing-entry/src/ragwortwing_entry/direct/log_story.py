"""The story of one request, told from the structured logs of any number of processes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .log_lines import Fields, read_log_lines, time_of

AROUND = 5.0
"""Seconds around a request in which a change of belief is told with it: longer than any outage is
noticed after."""

BELIEFS_ABOUT_ALL = ("store_lost", "store_regained", "configuration_in_force", "Draining")
"""Changes of belief that touch every request of a process."""

Sentence = Callable[[Fields], str]

SENTENCES_BY_MESSAGE: dict[str, Sentence] = {}


def tells(message: str) -> Callable[[Sentence], Sentence]:
    """Register how a kind of line is told."""

    def register(sentence: Sentence) -> Sentence:
        SENTENCES_BY_MESSAGE[message] = sentence
        return sentence

    return register


class UnknownRequestError(Exception):
    """No line names the request."""

    def __init__(self, request_id: str, lines: int, skipped: int) -> None:
        super().__init__(f"no line names {request_id} ({lines} read, {skipped} skipped)")
        self.request_id = request_id


@dataclass(frozen=True, slots=True)
class StoryLine:
    """One moment of a story."""

    at: float
    """Seconds since the request's first line."""
    process: str
    text: str


@dataclass(frozen=True, slots=True)
class Story:
    """What became of a request, and why."""

    request_id: str
    lines: tuple[StoryLine, ...]
    cause: str
    skipped: int
    """Lines that could not be read."""


def tell_story(request_id: str, log_lines: Iterable[bytes]) -> Story:
    """Return the story of a request.

    Args:
        request_id: The request.
        log_lines: Lines of the logs, in any order; what stands before a line's object is passed
            over.

    Raises:
        UnknownRequestError: No line names the request.
    """
    logs = read_log_lines(log_lines)
    own = [line for line in logs.lines if line.get("request_id") == request_id]
    if not own:
        raise UnknownRequestError(request_id, len(logs.lines), logs.skipped)
    own.sort(key=time_of)
    chosen = sorted([*own, *_beliefs_near(own, logs.lines)], key=time_of)
    start = time_of(own[0])
    lines = tuple(
        StoryLine(round(time_of(line) - start, 3), str(line.get("process", "")), _sentence(line))
        for line in chosen
    )
    return Story(request_id, lines, _cause(own), logs.skipped)


def _beliefs_near(own: list[Fields], lines: list[Fields]) -> list[Fields]:
    first, last = time_of(own[0]) - AROUND, time_of(own[-1]) + AROUND
    processes = {line.get("process") for line in own}
    backends = {line["backend"] for line in own if line.get("backend")}

    def concerns(line: Fields) -> bool:
        if line.get("request_id") or line.get("process") not in processes:
            return False
        if not first <= time_of(line) <= last:
            return False
        return line["message"] in BELIEFS_ABOUT_ALL or line.get("backend") in backends

    return [line for line in lines if concerns(line)]


def _sentence(line: Fields) -> str:
    known = SENTENCES_BY_MESSAGE.get(line["message"])
    hidden = ("message", "time", "process", "level", "request_id")
    rest = {key: value for key, value in line.items() if key not in hidden and value is not None}
    details = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{known(line)} ({details})" if known else f"{line['message']} ({details})"


def _cause(own: list[Fields]) -> str:
    """Return the cause of the end, by the lines that decide it."""
    ended = next((line for line in reversed(own) if line["message"] == "request_ended"), None)
    failures = [line for line in own if line["message"] in ("send_failed", "send_declined")]
    refused = [line for line in own if line["message"] == "request_refused"]
    if any(line["message"] == "caller_left" for line in own):
        return "the caller left before the end"
    if ended is None:
        return "no end was logged: the process ended first, or lines were left out"
    if refused:
        return f"refused before any send: {refused[-1].get('reason')}"
    if ended.get("outcome") == "answered":
        return _cause_of_answer(ended, own)
    if failures:
        last = failures[-1]
        why = last.get("cause") or last.get("kind")
        return f"{ended['outcome']}: backend server {last.get('backend')}: {why}"
    return f"{ended['outcome']}: {ended.get('conclusion')}"


def _cause_of_answer(ended: Fields, own: list[Fields]) -> str:
    placed = [line for line in own if line["message"] == "request_placed"]
    if ended.get("kind") != "success":
        return f"the backend server {ended.get('backend')} ran it and its run failed"
    if not placed:
        return "answered"
    last = placed[-1]
    return (
        f"answered; first event after {ended.get('first_event_ms')} ms, of which it waited "
        f"{last.get('waited_ms')} ms for an engine; then {last.get('first_event_in_ms')} ms were "
        f"predicted on {last.get('backend')} behind {last.get('backlog_ms')} ms of reading; "
        f"longest pause {ended.get('longest_pause_ms')} ms"
    )


@tells("request_accepted")
def _accepted(line: Fields) -> str:
    return f"accepted on route {line.get('route')} for {line.get('account')}"


@tells("request_placed")
def _placed(line: Fields) -> str:
    return f"placed on {line.get('backend')} after waiting {line.get('waited_ms')} ms"


@tells("request_refused")
def _refused(line: Fields) -> str:
    return f"refused, not run: {line.get('reason')}"


@tells("request_sent")
def _sent(line: Fields) -> str:
    return f"sent to {line.get('backend')}"


@tells("send_failed")
def _failed(line: Fields) -> str:
    return f"the send to {line.get('backend')} ended {line.get('state')}: {line.get('cause')}"


@tells("send_declined")
def _declined(line: Fields) -> str:
    return f"{line.get('backend')} said that it did not run it"


@tells("request_ended")
def _ended(line: Fields) -> str:
    return f"ended: {line.get('outcome')} after {line.get('took_ms')} ms"


@tells("backend_rests")
def _rests(line: Fields) -> str:
    return f"{line.get('backend')} is passed over for a while: {line.get('cause')}"


@tells("store_lost")
def _store_lost(line: Fields) -> str:
    return f"the store stopped answering: {line.get('cause')}"
