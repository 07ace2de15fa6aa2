"""Measures how closely the entries together enforce an account's limits.

The result depends on how the account's calls are spread over the entries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ragwortwing_policy.account_limits import AccountLimiter, AccountUsage
from ragwortwing_policy.configuration import ClientAccount, Configuration, Preset

from .registry import experiment

ENTRIES = 3
RATE = 30.0
CONCURRENCY = 60
OFFERED_RATE = 3 * RATE
"""Requests per second that the account sends."""

HOLD_SECONDS = 4.0
"""Seconds that each request is in flight."""

REPORT_SECONDS = 1.0
"""Interval in seconds at which entries receive usage reports, each one interval old."""

STEP_SECONDS = 0.01
DURATION_SECONDS = 60.0

Spread = Callable[[float, Random], int]
"""Selects the entry that receives a request."""

SPREADS: dict[str, Spread] = {
    "even": lambda _, random: random.randrange(ENTRIES),
    "one entry": lambda _, random: 0,
    "moves each 2 s": lambda now, random: int(now / 2) % ENTRIES,
    "moves each 10 s": lambda now, random: int(now / 10) % ENTRIES,
}


@dataclass(frozen=True, slots=True)
class AdmittedUsage:
    """Usage that the entries together admitted under one spread, relative to the limits."""

    spread: str
    rate_share: float
    """Mean admitted rate divided by the rate limit."""
    worst_rate_share: float
    """Highest rate in any 5 s divided by the rate limit, ignoring the initial burst."""
    concurrency_share: float
    """Mean requests in flight divided by the concurrency limit."""
    worst_concurrency_share: float


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Admitted usage by spread."""

    seed: int
    by_spread: tuple[AdmittedUsage, ...]

    def render(self) -> str:
        """Return the shares as a table."""
        lines = ["spread            rate  worst 5 s  in flight  worst   (share of the limit)"]
        lines += [
            f"{each.spread:16} {each.rate_share:5.2f} {each.worst_rate_share:10.2f} "
            f"{each.concurrency_share:10.2f} {each.worst_concurrency_share:6.2f}"
            for each in self.by_spread
        ]
        return "\n".join(lines)


@experiment("account_limits")
def run(seed: int) -> AccountLimits:
    """An account that sends three times its limit, spread evenly or unevenly over three entries."""
    return AccountLimits(seed, tuple(_measure(name, seed) for name in SPREADS))


def _measure(spread: str, seed: int) -> AdmittedUsage:
    by_rate = _Site(ClientAccount("a", requests_per_second=RATE), spread, seed)
    rates = by_rate.admitted_by_second()
    windows = [sum(rates[at : at + 5]) / 5 for at in range(5, len(rates) - 5)]
    by_concurrency = _Site(ClientAccount("a", concurrency=CONCURRENCY), spread, seed)
    by_concurrency.admitted_by_second()
    in_flight = by_concurrency.in_flight_by_second
    return AdmittedUsage(
        spread,
        sum(rates[5:]) / len(rates[5:]) / RATE,
        max(windows) / RATE,
        sum(in_flight[5:]) / len(in_flight[5:]) / CONCURRENCY,
        max(in_flight) / CONCURRENCY,
    )


class _Site:
    """Entries that serve one account, with usage reports that are one interval old."""

    def __init__(self, account: ClientAccount, spread: str, seed: int) -> None:
        configuration = Configuration(
            revision=0,
            preset="ordinary",
            accounts_by_name={"a": account},
            presets_by_name={"ordinary": Preset("ordinary")},
        )
        self._limiters = [AccountLimiter(configuration, ENTRIES) for _ in range(ENTRIES)]
        self._spread = SPREADS[spread]
        self._random = Random(f"{seed}/{spread}")
        self._ends: deque[tuple[float, int]] = deque()
        self.in_flight_by_second: list[int] = []

    def admitted_by_second(self) -> list[int]:
        admitted: list[int] = []
        for second in range(int(DURATION_SECONDS / REPORT_SECONDS)):
            if second > 1:
                usage = AccountUsage("a", self.in_flight_by_second[-2], float(admitted[-2]))
                for limiter in self._limiters:
                    limiter.observed(usage, second * REPORT_SECONDS)
            steps = range(round(REPORT_SECONDS / STEP_SECONDS))
            admitted.append(sum(self._step(second + each * STEP_SECONDS) for each in steps))
            self.in_flight_by_second.append(len(self._ends))
        return admitted

    def _step(self, now: float) -> int:
        while self._ends and self._ends[0][0] <= now:
            self._limiters[self._ends.popleft()[1]].release("a", now)
        if self._random.random() > OFFERED_RATE * STEP_SECONDS:
            return 0
        entry = self._spread(now, self._random)
        if self._limiters[entry].admit("a", now) is not None:
            return 0
        self._ends.append((now + HOLD_SECONDS, entry))
        return 1
