"""Counts the requests that missed their targets, by reason, from the logs of all processes.

The command `request losses` prints the result.
"""

from __future__ import annotations

import csv
import io
from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .log_lines import Fields, read_log_lines, time_of

if TYPE_CHECKING:
    from collections.abc import Iterable

LONG_WAIT_SHARE = 0.5
"""Share of its latency target after which a late request's wait for an engine is the reason."""


class Loss(StrEnum):
    """Why a request was not answered completely and on time."""

    LATE_WAITED = "late_waited"
    """The first event was late after a wait for an engine of more than `LONG_WAIT_SHARE`."""
    LATE_ENGINE = "late_engine"
    """The first event was late although the wait for an engine was short."""
    LATE_PAUSE = "late_pause"
    """A pause between two events was longer than the route's target."""
    FAILED_RUN = "failed_run"
    """The backend server ran the request and the run failed."""
    REFUSED = "refused"
    """The request was refused or its deadline passed; it has not run."""
    BROKEN_OFF = "broken_off"
    """The answer was cut off after it had begun."""
    UNRESOLVED = "unresolved"
    """The request may have run, but no answer arrived."""
    DENIED = "denied"
    """No route matched, the key was unknown or the request was malformed."""
    CALLER_LEFT = "caller_left"
    """The caller disconnected before the end."""
    NO_END = "no_end"
    """No end was logged: the process ended first, or log lines were dropped."""


@dataclass(frozen=True, slots=True)
class LossRow:
    """Number of losses of one route in one time span for one reason."""

    route: str
    since: float
    """Start of the span, in seconds from the earliest log line."""
    reason: Loss
    requests: int


@dataclass(frozen=True, slots=True)
class LossTable:
    """All losses found in a set of logs."""

    rows: tuple[LossRow, ...]
    request_count_by_route: dict[str, int]
    skipped: int
    """Number of lines that could not be parsed."""

    def to_csv(self) -> str:
        """Return the rows as CSV with a header line."""
        text = io.StringIO()
        writer = csv.writer(text, lineterminator="\n")
        writer.writerow(("route", "since_s", "reason", "requests"))
        writer.writerows((row.route, row.since, row.reason, row.requests) for row in self.rows)
        return text.getvalue()

    def render(self) -> str:
        """Return a text table with a row per route and span and a column per reason that occurs."""
        reasons = [each for each in Loss if any(row.reason is each for row in self.rows)]
        cells: dict[tuple[str, float], Counter[Loss]] = defaultdict(Counter)
        for row in self.rows:
            cells[row.route, row.since][row.reason] += row.requests
        lines = [f"{'route':16}{'from s':>8}" + "".join(f"{each:>13}" for each in reasons)]
        for (route, since), counts in sorted(cells.items()):
            figures = "".join(f"{counts[each]:>13}" for each in reasons)
            lines.append(f"{route:16}{since:>8g}{figures}")
        for route, asked in sorted(self.request_count_by_route.items()):
            lost = sum(row.requests for row in self.rows if row.route == route)
            lines.append(f"{route:16}{'all':>8}  {lost} of {asked} requests")
        return "\n".join(lines)


def losses(log_lines: Iterable[bytes], span: float = 5.0) -> LossTable:
    """Return the losses found in a set of logs.

    Args:
        log_lines: Lines of the logs, in any order.
        span: Length in seconds of the time span that a row covers.
    """
    logs = read_log_lines(log_lines)
    first = min((time_of(line) for line in logs.lines), default=0.0)
    by_request: dict[tuple[str, str], list[Fields]] = defaultdict(list)
    for line in sorted(logs.lines, key=time_of):
        if line.get("request_id"):
            by_request[str(line["request_id"]), str(line.get("process"))].append(line)
    counts: Counter[tuple[str, float, Loss]] = Counter()
    asked: Counter[str] = Counter()
    for lines in by_request.values():
        route = str(next((line["route"] for line in lines if line.get("route")), ""))
        asked[route] += 1
        reason = _loss_reason(lines)
        if reason is not None:
            since = span * ((time_of(lines[0]) - first) // span)
            counts[route, since, reason] += 1
    rows = tuple(LossRow(*key, number) for key, number in sorted(counts.items()))
    return LossTable(rows, dict(asked), logs.skipped)


def _loss_reason(lines: list[Fields]) -> Loss | None:
    by_message = {line["message"]: line for line in lines}
    if "caller_left" in by_message:
        return Loss.CALLER_LEFT
    ended = by_message.get("request_ended")
    if ended is None:
        return Loss.NO_END
    if ended.get("outcome") == "broken_off":
        return Loss.BROKEN_OFF
    if ended.get("outcome") == "concluded":
        conclusion = str(ended.get("conclusion"))
        if conclusion.startswith("Refused"):
            return Loss.REFUSED
        return Loss.UNRESOLVED if conclusion.startswith("Unresolved") else Loss.DENIED
    if ended.get("kind") != "success":
        return Loss.FAILED_RUN
    return _lateness_reason(
        by_message.get("request_accepted", {}), by_message.get("request_placed"), ended
    )


def _lateness_reason(accepted: Fields, placed: Fields | None, ended: Fields) -> Loss | None:
    target, pause = accepted.get("target_ms"), accepted.get("pause_target_ms")
    first = ended.get("first_event_ms")
    first = ended.get("took_ms", 0) if first is None else first
    if target is not None and first > target:
        waited = placed.get("waited_ms", 0) if placed is not None else 0
        return Loss.LATE_WAITED if waited > LONG_WAIT_SHARE * target else Loss.LATE_ENGINE
    if pause is not None and ended.get("longest_pause_ms", 0) > pause:
        return Loss.LATE_PAUSE
    return None
