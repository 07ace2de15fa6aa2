"""Counts the requests that missed their targets, by reason, from the logs of all processes.

The command `request losses` prints the result.
"""

from __future__ import annotations

import csv
import io
from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

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


LATE = frozenset({Loss.LATE_WAITED, Loss.LATE_ENGINE, Loss.LATE_PAUSE})


class Grouping(StrEnum):
    """What the requests are grouped by."""

    ROUTE = "route"
    ACCOUNT = "account"
    ENGINE = "engine"
    """The backend server of the last placement or send; empty for a request without one."""
    ZONE = "zone"
    """The zone of the entry that served the request."""


@dataclass(frozen=True, slots=True)
class LossRow:
    """Number of losses of one group in one time span for one reason."""

    group: tuple[str, ...]
    """A value for each grouping of the table; empty where the logs have none."""
    since: float
    """Start of the span, in seconds from the earliest log line."""
    reason: Loss
    requests: int


@dataclass(frozen=True, slots=True)
class LossTable:
    """All losses found in a set of logs."""

    groupings: tuple[Grouping, ...]
    rows: tuple[LossRow, ...]
    request_count_by_group: dict[tuple[str, ...], int]
    skipped: int
    """Number of lines that could not be parsed."""

    def to_csv(self) -> str:
        """Return the rows as CSV with a header line."""
        header = (*self.groupings, "since_s", "reason", "requests")
        return _csv(
            header, ((*row.group, row.since, row.reason, row.requests) for row in self.rows)
        )

    def render(self) -> str:
        """Return a text table with a row per group and span and a column per reason that occurs."""
        reasons = [each for each in Loss if any(row.reason is each for row in self.rows)]
        cells: dict[tuple[tuple[str, ...], float], Counter[Loss]] = defaultdict(Counter)
        for row in self.rows:
            cells[row.group, row.since][row.reason] += row.requests
        lines = [
            f"{_cells(self.groupings)}{'from s':>8}" + "".join(f"{each:>13}" for each in reasons)
        ]
        for (group, since), counts in sorted(cells.items()):
            figures = "".join(f"{counts[each]:>13}" for each in reasons)
            lines.append(f"{_cells(group)}{since:>8g}{figures}")
        for group, asked in sorted(self.request_count_by_group.items()):
            lost = sum(row.requests for row in self.rows if row.group == group)
            lines.append(f"{_cells(group)}{'all':>8}  {lost} of {asked} requests")
        return "\n".join(lines)

    def summary(self) -> tuple[GroupSummary, ...]:
        """Return how the requests of each group ended, the largest group first."""
        counts: dict[tuple[str, ...], Counter[Loss]] = defaultdict(Counter)
        for row in self.rows:
            counts[row.group][row.reason] += row.requests
        by_size = sorted(self.request_count_by_group.items(), key=lambda each: (-each[1], each[0]))
        return tuple(
            GroupSummary(
                group,
                requests,
                requests - counts[group].total(),
                sum(counts[group][reason] for reason in LATE),
                counts[group][Loss.REFUSED],
            )
            for group, requests in by_size
        )

    def summary_to_csv(self) -> str:
        """Return the summary as CSV with a header line."""
        header = (*self.groupings, "requests", "on_time", "late", "refused", "other")
        return _csv(header, ((*each.group, each.requests, *each.ends) for each in self.summary()))

    def render_summary(self) -> str:
        """Return the summary as a text table with fractions: of all requests, then of the group."""
        names = ("requests", "of all", "on time", "late", "refused", "other")
        lines = [_cells(self.groupings) + "".join(f"{name:>10}" for name in names)]
        total = sum(self.request_count_by_group.values())
        for each in self.summary():
            ends = "".join(f"{number / each.requests:>10.3f}" for number in each.ends)
            of_all = each.requests / total
            lines.append(f"{_cells(each.group)}{each.requests:>10}{of_all:>10.3f}{ends}")
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """How the requests of one group ended; each attempt of a caller counts for itself."""

    group: tuple[str, ...]
    requests: int
    on_time: int
    late: int
    refused: int

    @property
    def ends(self) -> tuple[int, int, int, int]:
        """Numbers of requests on time, late, refused, and lost for any other reason."""
        other = self.requests - self.on_time - self.late - self.refused
        return self.on_time, self.late, self.refused, other


def losses(
    log_lines: Iterable[bytes],
    span: float = 5.0,
    groupings: tuple[Grouping, ...] = (Grouping.ROUTE,),
) -> LossTable:
    """Return the losses found in a set of logs.

    Args:
        log_lines: Lines of the logs, in any order.
        span: Length in seconds of the time span that a row covers.
        groupings: What the requests are grouped by, besides span and reason.
    """
    logs = read_log_lines(log_lines)
    first = min((time_of(line) for line in logs.lines), default=0.0)
    zone_by_process = {line.get("process"): line["zone"] for line in logs.lines if "zone" in line}
    by_request: dict[tuple[str, str], list[Fields]] = defaultdict(list)
    for line in sorted(logs.lines, key=time_of):
        if line.get("request_id"):
            by_request[str(line["request_id"]), str(line.get("process"))].append(line)
    counts: Counter[tuple[tuple[str, ...], float, Loss]] = Counter()
    asked: Counter[tuple[str, ...]] = Counter()
    for lines in by_request.values():
        values = _group_values(lines, zone_by_process)
        group = tuple(values[each] for each in groupings)
        asked[group] += 1
        reason = _loss_reason(lines)
        if reason is not None:
            since = span * ((time_of(lines[0]) - first) // span)
            counts[group, since, reason] += 1
    rows = tuple(LossRow(*key, number) for key, number in sorted(counts.items()))
    return LossTable(groupings, rows, dict(asked), logs.skipped)


def _group_values(lines: list[Fields], zone_by_process: dict[Any, Any]) -> dict[Grouping, str]:
    """Return a request's value for each grouping.

    The zone is known by process, so it is also found for requests that were denied at once.
    """

    def last(key: str) -> str:
        return str(next((line[key] for line in reversed(lines) if line.get(key)), ""))

    return {
        Grouping.ROUTE: last("route"),
        Grouping.ACCOUNT: last("account"),
        Grouping.ENGINE: last("backend"),
        Grouping.ZONE: str(zone_by_process.get(lines[0].get("process"), "")),
    }


def _cells(group: Iterable[str]) -> str:
    return "".join(f"{value or '-':16}" for value in group)


def _csv(header: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(header)
    writer.writerows(rows)
    return text.getvalue()


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
