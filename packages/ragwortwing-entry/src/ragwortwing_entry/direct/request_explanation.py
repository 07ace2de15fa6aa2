"""Explains what happened to one request, from the structured logs of any number of processes.

The command `request explain` prints the result.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .log_lines import Fields, read_log_lines, time_of

CONTEXT_SECONDS = 5.0
"""Seconds before and after a request within which state changes are included. Every outage is
detected within a shorter time."""

PROCESS_WIDE_EVENTS = ("store_lost", "store_regained", "configuration_in_force", "Draining")
"""State changes that affect every request of a process."""

Description = Callable[[Fields], str]

DESCRIPTIONS_BY_MESSAGE: dict[str, Description] = {}


def describes(message: str) -> Callable[[Description], Description]:
    """Register the function that describes log lines with this message."""

    def register(description: Description) -> Description:
        DESCRIPTIONS_BY_MESSAGE[message] = description
        return description

    return register


class UnknownRequestError(Exception):
    """No log line mentions the request."""

    def __init__(self, request_id: str, lines: int, skipped: int) -> None:
        super().__init__(
            f"no log line mentions request {request_id} ({lines} lines read, {skipped} skipped)"
        )
        self.request_id = request_id


@dataclass(frozen=True, slots=True)
class ExplanationLine:
    """One event in the history of a request."""

    at: float
    """Seconds since the request's first line."""
    process: str
    text: str


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """The history of a request and the cause of its end."""

    request_id: str
    lines: tuple[ExplanationLine, ...]
    cause: str
    skipped: int
    """Number of lines that could not be parsed."""


def explain_request(request_id: str, log_lines: Iterable[bytes]) -> RequestExplanation:
    """Return the history of a request and the cause of its end.

    Args:
        request_id: The request's id.
        log_lines: Lines of the logs, in any order; text before the JSON object of a line is
            ignored.

    Raises:
        UnknownRequestError: No log line mentions the request.
    """
    logs = read_log_lines(log_lines)
    own = [line for line in logs.lines if line.get("request_id") == request_id]
    if not own:
        raise UnknownRequestError(request_id, len(logs.lines), logs.skipped)
    own.sort(key=time_of)
    chosen = sorted([*own, *_context_lines(own, logs.lines)], key=time_of)
    start = time_of(own[0])
    lines = tuple(
        ExplanationLine(
            round(time_of(line) - start, 3), str(line.get("process", "")), _describe(line)
        )
        for line in chosen
    )
    return RequestExplanation(request_id, lines, _cause(own), logs.skipped)


def _context_lines(own: list[Fields], lines: list[Fields]) -> list[Fields]:
    first, last = time_of(own[0]) - CONTEXT_SECONDS, time_of(own[-1]) + CONTEXT_SECONDS
    processes = {line.get("process") for line in own}
    backends = {line["backend"] for line in own if line.get("backend")}

    def concerns(line: Fields) -> bool:
        if line.get("request_id") or line.get("process") not in processes:
            return False
        if not first <= time_of(line) <= last:
            return False
        return line["message"] in PROCESS_WIDE_EVENTS or line.get("backend") in backends

    return [line for line in lines if concerns(line)]


def _describe(line: Fields) -> str:
    known = DESCRIPTIONS_BY_MESSAGE.get(line["message"])
    hidden = ("message", "time", "process", "level", "request_id")
    rest = {key: value for key, value in line.items() if key not in hidden and value is not None}
    details = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{known(line)} ({details})" if known else f"{line['message']} ({details})"


def _cause(own: list[Fields]) -> str:
    """Return the cause of the end, from the request's own lines."""
    ended = next((line for line in reversed(own) if line["message"] == "request_ended"), None)
    failures = [line for line in own if line["message"] in ("send_failed", "send_declined")]
    refused = [line for line in own if line["message"] == "request_refused"]
    errors = [line for line in own if line["message"] == "request_handling_failed"]
    if errors:
        return f"an error inside the entry: {errors[-1].get('error')}"
    if any(line["message"] == "caller_left" for line in own):
        return "the caller disconnected before the end"
    if ended is None:
        return "no end was logged: the process ended first, or log lines were dropped"
    if refused:
        return f"refused before any send: {refused[-1].get('reason')}" + "".join(
            f"; {each}" for each in _refusal_inputs(refused[-1])
        )
    if ended.get("outcome") == "answered":
        return _cause_of_answer(ended, own)
    if failures:
        last = failures[-1]
        why = last.get("cause") or last.get("kind")
        return f"{ended['outcome']}: backend server {last.get('backend')}: {why}"
    return f"{ended['outcome']}: {ended.get('conclusion')}"


def _refusal_inputs(refused: Fields) -> list[str]:
    """Describe the share and the retry time of a refusal, as far as its line has them."""
    inputs = []
    usage = refused.get("account_usage", refused.get("usage"))
    share = refused.get("account_share", refused.get("share"))
    if usage is not None and share is not None:
        side = "beyond" if usage > share else "within"
        account = refused.get("account") or "requests without an account"
        inputs.append(f"{account} had used {usage}, {side} its share of {share}")
    if _is_retry(refused):
        inputs.append("it was a retry at its assigned time")
    elif refused.get("retry_recognized") == "early":
        inputs.append("it was a retry before its assigned time")
    if refused.get("retry_after") is not None:
        inputs.append(f"the caller was told to retry after {refused['retry_after']} s")
    return inputs


def _is_retry(line: Fields) -> bool:
    return bool(line.get("is_retry")) or line.get("retry_recognized") == "on_time"


def _cause_of_answer(ended: Fields, own: list[Fields]) -> str:
    placed = [line for line in own if line["message"] == "request_placed"]
    if ended.get("kind") != "success":
        return f"backend server {ended.get('backend')} ran the request and the run failed"
    if not placed:
        return "answered"
    last = placed[-1]
    return (
        f"answered; first event after {ended.get('first_event_ms')} ms, of which it waited "
        f"{last.get('waited_ms')} ms for an engine; then {last.get('first_event_in_ms')} ms were "
        f"predicted on {last.get('backend')} with a prompt backlog of {last.get('backlog_ms')} ms; "
        f"longest pause {ended.get('longest_pause_ms')} ms"
    )


@describes("request_accepted")
def _accepted(line: Fields) -> str:
    return f"accepted on route {line.get('route')} for {line.get('account')}"


@describes("request_placed")
def _placed(line: Fields) -> str:
    placed = f"placed on {line.get('backend')} after waiting {line.get('waited_ms')} ms"
    return f"{placed}; a retry at its assigned time" if _is_retry(line) else placed


@describes("request_refused")
def _refused(line: Fields) -> str:
    return f"refused, not run: {line.get('reason')}"


@describes("request_sent")
def _sent(line: Fields) -> str:
    return f"sent to {line.get('backend')}"


@describes("send_failed")
def _failed(line: Fields) -> str:
    return f"the send to {line.get('backend')} ended {line.get('state')}: {line.get('cause')}"


@describes("send_declined")
def _declined(line: Fields) -> str:
    return f"{line.get('backend')} reported that it did not run the request"


@describes("backend_notice")
def _notice(line: Fields) -> str:
    if line.get("leaving"):
        return f"{line.get('backend')} stated that it is shutting down"
    return f"{line.get('backend')} asked for no requests for {line.get('retry_after')} s"


@describes("request_handling_failed")
def _handling_failed(line: Fields) -> str:
    return f"an error inside the entry interrupted it: {line.get('error')}"


@describes("request_ended")
def _ended(line: Fields) -> str:
    return f"ended: {line.get('outcome')} after {line.get('took_ms')} ms"


@describes("backend_rests")
def _rests(line: Fields) -> str:
    return f"{line.get('backend')} is excluded for a while: {line.get('cause')}"


@describes("backend_ended")
def _backend_ended(line: Fields) -> str:
    return f"{line.get('backend')} ended, with {len(line.get('prompts', ()))} requests to begin"


@describes("prompt_part_blocked")
def _part_blocked(line: Fields) -> str:
    return f"part {line.get('part')} is kept from engines: {len(line.get('crashes', ()))} crashed"


@describes("store_lost")
def _store_lost(line: Fields) -> str:
    return f"the store stopped answering: {line.get('cause')}"
