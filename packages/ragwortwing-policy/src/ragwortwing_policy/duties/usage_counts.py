"""Counts of requests that began to run, by time window and client account.

Each entry counts its own requests and reports cumulative counts, so reports may be lost,
repeated or reordered. The holder of the duty adds up the reports of all entries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOWS_KEPT = 12
"""Number of windows for which counts are kept: one minute with windows of 5 s."""

CLOSE_AFTER = 0.7
"""Seconds after a window's end until an entry declares its counts complete: an answer reports
only later that its request began in the window."""

CountsByAccount = Mapping[str, int]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The counts of one process."""

    sender: str
    life: int
    """Start of its process in Unix milliseconds."""
    first_window: int
    """The window in which the process began to count."""
    closed_through: int
    """The last window whose counts are complete."""
    counts_by_window: Mapping[int, CountsByAccount] = field(default_factory=dict)


class UsageCounter:
    """Counts the requests of this entry.

    Example:
        >>> counter = UsageCounter("entry-1", life=1, window=5.0, started_at=1_000.0)
        >>> counter.count("suva", began_at=1_001.0)
        >>> counter.report(now=1_001.5).counts_by_window
        {200: {'suva': 1}}
        >>> counter.report(now=1_001.5, whole=False).counts_by_window
        {}
    """

    def __init__(self, sender: str, life: int, window: float, started_at: float) -> None:
        """Create an empty counter; times are seconds of Unix time.

        Args:
            sender: Name of the entry.
            life: Start of its process in Unix milliseconds.
            window: Length of a window in seconds.
            started_at: When it begins to count.
        """
        self._sender = sender
        self._life = life
        self._window = window
        self._first_window = int(started_at // window)
        self._counts_by_window: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()
        self._reported_through = self._first_window - 1

    def count(self, account: str, began_at: float) -> None:
        """Count a request of an account that began to run."""
        window = int(began_at // self._window)
        self._counts_by_window.setdefault(window, Counter())[account] += 1
        self._changed.add(window)

    def closed_through(self, now: float) -> int:
        """Return the last window whose counts are complete."""
        return int((now - CLOSE_AFTER) // self._window) - 1

    def has_changes(self, now: float) -> bool:
        """Return whether something has changed since the last report."""
        return bool(self._changed) or self.closed_through(now) > self._reported_through

    def report(self, now: float, *, whole: bool = True) -> UsageReport:
        """Return a report of all windows that are kept, or only of those that changed."""
        closed = self.closed_through(now)
        for window in [w for w in self._counts_by_window if w <= closed - WINDOWS_KEPT]:
            del self._counts_by_window[window]
        reported = self._counts_by_window
        if not whole:
            # Windows are sent again when they close, as the report of the last change may be lost.
            closing = range(self._reported_through + 1, closed + 1)
            chosen = self._changed | set(closing)
            reported = {w: counts for w, counts in reported.items() if w in chosen}
        self._changed.clear()
        self._reported_through = closed
        return UsageReport(
            self._sender,
            self._life,
            self._first_window,
            closed,
            {window: dict(counts) for window, counts in reported.items()},
        )


@dataclass(slots=True)
class _ProcessCounts:
    first_window: int
    closed_through: int
    counts_by_window: dict[int, Counter[str]] = field(default_factory=dict)


class UsageLedger:
    """Aggregates the counts of all entries.

    Example:
        >>> ledger = UsageLedger()
        >>> ledger.take(UsageReport("entry-1", 1, 7, 7, {7: {"suva": 2}}))
        >>> ledger.take(UsageReport("entry-2", 1, 7, 7, {7: {"suva": 1, "nadi": 1}}))
        >>> ledger.counts(7)
        {'nadi': 1, 'suva': 3}
    """

    def __init__(self) -> None:
        self._counts_by_process: dict[tuple[str, int], _ProcessCounts] = {}

    def take(self, report: UsageReport) -> None:
        """Merge a report. Counts only increase, so an older report changes nothing."""
        key = (report.sender, report.life)
        life = self._counts_by_process.get(key)
        if life is None:
            life = self._counts_by_process[key] = _ProcessCounts(
                report.first_window, report.closed_through
            )
        life.closed_through = max(life.closed_through, report.closed_through)
        for window, counts in report.counts_by_window.items():
            known = life.counts_by_window.setdefault(window, Counter())
            known |= Counter(counts)
            life.counts_by_window[window] = known
        for window in [w for w in life.counts_by_window if w <= life.closed_through - WINDOWS_KEPT]:
            del life.counts_by_window[window]

    def forget_before(self, window: int) -> None:
        """Remove the processes whose last complete window is before a window."""
        for key in [
            key for key, life in self._counts_by_process.items() if life.closed_through < window
        ]:
            del self._counts_by_process[key]

    @property
    def first_window(self) -> int | None:
        """The first window for which counts are known, or None."""
        return min((life.first_window for life in self._counts_by_process.values()), default=None)

    def missing(self, window: int, senders: frozenset[str]) -> frozenset[str]:
        """Return the entries that have not declared a window's counts complete."""
        closed = {
            name
            for (name, _), life in self._counts_by_process.items()
            if life.closed_through >= window
        }
        return senders - closed

    def counts(self, window: int) -> dict[str, int]:
        """Return the number of requests of each account that began in a window."""
        total: Counter[str] = Counter()
        for life in self._counts_by_process.values():
            total.update(life.counts_by_window.get(window, {}))
        return dict(sorted(total.items()))
