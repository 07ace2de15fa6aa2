"""Performance model of the engines of a pool: how fast each one prefills and generates.

The load that it addresses: engines of one pool that differ in speed, or slow down for seconds,
under bursts of prompts. The configuration contains slots, memory and tokens per event of an
engine, but no speed. Everything else is learned from the events that the entries see.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import TYPE_CHECKING

from .first_event_fit import FirstEventFit
from .gap_fit import GapFit
from .routing_table import LEAST_URGENT_TIER
from .running_average import RunningAverage

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

ASSUMED_TOKENS_PER_SECOND = 40_000.0
"""Prefill rate in tokens per second before anything is learned; a conservative value."""

ASSUMED_FIXED_TIME = 0.035
"""Seconds from a send to the first event of a short prompt on an idle engine, network included,
before anything is learned."""

RATE_BOUNDS = (4_000.0, 200_000.0)
"""Minimum and maximum rate in tokens per second. A stalled engine is handled by its health, not
by its rate."""

MAXIMUM_FIXED_TIME = 0.5
"""Maximum fixed time in seconds."""

PLAUSIBLE_FIRST_EVENT_SECONDS = 30.0
"""Measured first events that took longer are ignored: no request waits that long for one."""

PLAUSIBLE_GAP_SECONDS = 10.0
"""Measured gaps that are longer are ignored: an engine that stalls is handled by its health."""

POOL_MEMORY = 300.0
"""Rows after which the weight of a row in the pool's estimate has fallen to 1/e."""

ENGINE_MEMORY = 40.0
"""The same for the estimate of one engine: about ten seconds of prompts."""

ENGINE_PRIOR_SAMPLES = (20.0, 3.0)
"""Rows that the pool's fixed time and time per token count for in an engine's estimate. Engines
of a pool share a network and a program, so their fixed times differ less than their speeds."""

MINIMUM_POOL_SAMPLES = 30.0
"""Effective rows of a pool before its estimate may replace the assumed constants."""

MINIMUM_ENGINE_SAMPLES = 20
"""Rows of an engine before its speed counts as different from that of others."""

FIXED_TIME_DIFFERENCE = 0.015
"""Seconds by which a fixed time differs notably from the assumed one. Smaller differences change
no decision: predictions err by more."""

STANDARD_ERRORS = 3.0
"""Standard errors by which an estimate must differ from the assumed value."""

SPEED_DIFFERENCE = 0.35
"""Relative difference of an engine's times from the median of its pool from which the engines count
as different. Among 39 equal engines it reaches 0.26 in a replay, because engines generate tokens
between two prefill chunks, and engines for short prompts generate more."""

HYSTERESIS = 0.5
"""Fraction of a difference below which the assumed constants are used again."""

REVIEW_ROWS = 16
"""Rows after which a pool compares its estimate with the constants."""

SLOWDOWN_SECONDS = 0.8
"""Time constant of the comparison of recent prefill with its prediction."""

SLOWDOWN_PRIOR_SECONDS = 0.2
"""Seconds of prefill as predicted that are assumed besides the measured ones. A short prompt that
waits for a chunk of a long one may take 0.08 s instead of 0.01 s on an engine of normal speed."""

SLOWDOWN_RATIO = 1.6
"""Ratio of actual to predicted prefill from which an engine is slow. Smaller ratios are chance:
a prompt may wait for one chunk of another prompt."""

SLOWDOWN_HELD = 1.5
"""Seconds after which a slowdown is assumed to be over unless it is measured again."""

MAXIMUM_SLOWDOWN = 8.0

OVERDUE_RATIO = 2.5
"""Ratio of waited to expected prefill from which an engine without events counts as slow."""

MINIMUM_EXPECTED_SECONDS = 0.04
"""Shortest prefill that is compared with its expectation before its event arrives."""

MARGIN_DEVIATIONS = 1.6
"""Mean deviations of the prediction error that are kept as a margin: nine of ten normal errors are
below 1.6 mean deviations, which are 1.28 standard deviations."""

MINIMUM_MEAN_ERROR = 0.005
"""Seconds of mean error to which an engine's errors are related at least."""

MAXIMUM_RELATIVE_ERROR = 6.0
"""Maximum error of a prediction relative to the mean that moves an engine's margin."""

MARGIN_BOUNDS = (2.0, 2.5)
"""Narrowest and widest margin relative to the constant one. The assumed constants predict 30 to 50
ms too late, which kept long prompts off engines on which they would have been late. A measured
model needs that much more margin. With the widest, an engine still has a quarter of the target."""

QUIET_FRACTION = 0.3
"""Fraction of a measured span in prefill up to which its mean gap counts as one without prefill."""

CONTINUOUS_GAPS = 2.0
"""Length of a span of prefill, in gaps, from which one whole gap certainly lies within it."""

SHARED_FRACTION = 0.85
"""Fraction of the shortest pause target that the gap under continuous prefill may take on an engine
for short and long prompts. Pauses of single streams exceed the mean of the longest by a tenth."""

SHARED_DEVIATIONS = 2.0
"""Mean deviations of the gap under continuous prefill that are added to it: a stream of a hundred
events sees many gaps, and its longest one decides."""

SHARED_FRACTION_KEPT = 0.95
"""The same fraction on an engine that already takes both."""

MINIMUM_COMPARED = 8
"""First events of an engine before its speed is assumed for its gaps as well."""

MINIMUM_GAP_SAMPLES = 20
"""Measured gaps of a pool before any decision uses them."""

NOTABLE_RATIO = 1.15
"""Ratio by which a logged estimate has to change before it is logged again."""

NOTABLE_SECONDS = 0.005
"""Smallest change of a time that is logged."""

LOG_INTERVAL = 5.0
"""Seconds between two logged changes of one engine."""


@dataclass(frozen=True, slots=True)
class EngineEstimate:
    """What is known of one engine, for logs and metrics."""

    backend_id: str
    in_force: bool
    """Whether decisions use it."""
    fixed_time: float
    tokens_per_second: float
    samples: int
    gap: float | None
    """Seconds between two events without prefill; None if unknown."""
    gap_under_prefill: float | None
    """Seconds between two events during continuous prefill; None if unknown."""
    gap_samples: int
    margin_ratio: float | None
    """Margin kept for prediction errors relative to the pool's mean error; None if the constant
    is used."""
    slowdown: float
    shared: bool
    """Whether the engine takes short and long prompts."""


def is_plausible(seconds: float, maximum: float) -> bool:
    """Return whether a measured time can be real."""
    return isfinite(seconds) and 0.0 <= seconds <= maximum


class PoolModel:
    """What is known of all engines of a pool, the prior of each one."""

    def __init__(self) -> None:
        self.first_event = FirstEventFit(
            POOL_MEMORY, ASSUMED_FIXED_TIME, 1.0 / ASSUMED_TOKENS_PER_SECOND
        )
        self.gaps = GapFit(POOL_MEMORY)
        self.gap_version = 0
        """Increases when engines have to derive their gaps again."""
        self.rate_version = 0
        """Increases when the prefill rate of an engine, or the set of engines, may have changed."""
        self._gap_samples = 0
        self.knows_gaps = False
        """Whether gaps were measured often enough for decisions."""
        self.prefill_gap = RunningAverage(gain=0.02)
        """Seconds that continuous prefill adds to a gap."""
        self._errors = [RunningAverage(gain=0.02) for _ in range(LEAST_URGENT_TIER + 1)]
        """Absolute errors of predicted first events in seconds, by urgency. A less urgent request
        waits for more urgent ones that arrive later, so its predictions err by more."""
        self.in_force = False
        """Whether the estimates replace the assumed constants."""
        self.rejected = 0
        """Measurements ignored as implausible."""
        self._engines: dict[str, EngineModel] = {}
        self._rows = 0

    @property
    def limits_gaps(self) -> bool:
        """Whether decisions use the measured gaps of engines."""
        return self.in_force and self.knows_gaps

    def engine(self, backend_id: str) -> EngineModel:
        """Return a new model of an engine; it starts from the pool's estimate."""
        found = self._engines[backend_id] = EngineModel(backend_id, self)
        return found

    def learn_error(self, urgency: int, error: float) -> None:
        """Learn the error of a predicted first event."""
        self._errors[urgency].learn(abs(error))

    def mean_error(self, urgency: int) -> float | None:
        """Return the mean absolute error for an urgency in seconds; None if unknown."""
        known = self._errors[urgency]
        return known.mean if known.samples >= MINIMUM_POOL_SAMPLES else None

    def learn_quiet_gap(self, running: int, gap: float) -> None:
        """Learn a gap without prefill of any engine."""
        self.gaps.learn(running, gap)
        self._count_gap()

    def learn_prefill_gap(self, added: float) -> None:
        """Learn the seconds that continuous prefill adds to a gap, of any engine."""
        self.prefill_gap.learn(added)
        self._count_gap()

    def _count_gap(self) -> None:
        self._gap_samples += 1
        enough = MINIMUM_GAP_SAMPLES
        self.knows_gaps = self.gaps.samples >= enough and self.prefill_gap.samples >= enough
        if self._gap_samples % REVIEW_ROWS == 0:
            self.gap_version += 1
            self._review()

    def forget(self, backend_id: str) -> None:
        """Remove an engine that is gone."""
        self._engines.pop(backend_id, None)
        self.rate_version += 1

    def learn_first_event(self, tokens: int, seconds: float, *, includes_fixed_time: bool) -> None:
        """Learn a row of any engine."""
        self.first_event.learn(tokens, seconds, includes_fixed_time=includes_fixed_time)
        self._rows += 1
        if self._rows % REVIEW_ROWS == 0:
            self._review()

    def _review(self) -> None:
        """Decide whether the estimates differ from the constants or from one another."""
        fit = self.first_event
        if fit.samples < MINIMUM_POOL_SAMPLES:
            return
        scale = HYSTERESIS if self.in_force else 1.0
        allowed = max(scale * FIXED_TIME_DIFFERENCE, STANDARD_ERRORS * fit.fixed_error)
        differs = abs(fit.fixed_time - ASSUMED_FIXED_TIME) > allowed
        engines = self._engines.values()
        self.in_force = (
            differs
            or self._speeds_differ([each.relative_time for each in engines], scale)
            or self._speeds_differ([each.relative_gap for each in engines], scale)
        )

    def _speeds_differ(self, relative: list[RunningAverage], scale: float) -> bool:
        known = [each for each in relative if each.samples >= MINIMUM_ENGINE_SAMPLES]
        if len(known) < 2:
            return False
        median = sorted(each.mean for each in known)[len(known) // 2]
        return any(
            abs(each.mean - median)
            > max(scale * SPEED_DIFFERENCE * median, STANDARD_ERRORS * each.standard_error)
            for each in known
        )


class EngineModel:
    """What is known of one engine, with the pool's estimate as prior."""

    __slots__ = (
        "_logged",
        "_added_gap",
        "_gap_base",
        "_gap_per_running",
        "_gap_version",
        "_lateness",
        "_logged_at",
        "_relative_error",
        "_prefill_gap",
        "_recent_actual",
        "_recent_at",
        "_recent_expected",
        "_shared",
        "_slow_until",
        "_slowdown",
        "_widest_added_gap",
        "backend_id",
        "first_event",
        "fixed_time",
        "margin_ratio",
        "pool",
        "relative_gap",
        "relative_time",
        "seconds_per_token",
    )

    def __init__(self, backend_id: str, pool: PoolModel) -> None:
        self.backend_id = backend_id
        self.pool = pool
        fit = pool.first_event
        self.first_event = FirstEventFit(
            ENGINE_MEMORY, fit.fixed_time, fit.seconds_per_token, ENGINE_PRIOR_SAMPLES
        )
        self.relative_time = RunningAverage(gain=1.0 / ENGINE_MEMORY)
        """Ratio of the time that prompts took to the pool's prediction."""
        self._relative_error = RunningAverage(gain=0.08, prior_samples=8.0)
        """Absolute errors of predicted first events, relative to the pool's."""
        self._lateness = RunningAverage(gain=0.08, prior_samples=8.0)
        """The same with their sign."""
        self.margin_ratio = MARGIN_DEVIATIONS
        """Margin for prediction errors relative to the pool's mean error."""
        self.fixed_time = ASSUMED_FIXED_TIME
        self.seconds_per_token = 1.0 / ASSUMED_TOKENS_PER_SECOND
        self.relative_gap = RunningAverage(gain=0.1, prior_samples=4.0)
        """Ratio of gaps without prefill to the pool's estimate."""
        self._prefill_gap = RunningAverage(gain=0.15, prior_samples=2.0)
        """Seconds that continuous prefill adds to a gap."""
        self._recent_actual = self._recent_expected = 0.0
        self._recent_at: Instant = 0.0
        self._slowdown = 1.0
        self._slow_until: Instant = 0.0
        self._shared = False
        self._gap_version = -1
        self._gap_base = self._gap_per_running = 0.0
        self._added_gap = self._widest_added_gap = 0.0
        self._logged: EngineEstimate | None = None
        self._logged_at: Instant | None = None
        self._refresh()

    # First events

    def learn_first_event(
        self, tokens: int, seconds: float, now: Instant, *, includes_fixed_time: bool
    ) -> None:
        """Learn how long a prompt took.

        Args:
            tokens: Tokens that were prefilled.
            seconds: Seconds from the send to the first event or, if the prompt waited for others,
                from the end of the one before it.
            now: The current instant.
            includes_fixed_time: Whether the prompt met no queue.
        """
        if not is_plausible(seconds, PLAUSIBLE_FIRST_EVENT_SECONDS):
            self.pool.rejected += 1
            return
        pool_fit = self.pool.first_event
        by_pool = pool_fit.predict(tokens, includes_fixed_time=includes_fixed_time)
        self._compare(tokens, seconds, now, includes_fixed_time=includes_fixed_time)
        if by_pool > MINIMUM_EXPECTED_SECONDS:
            self.relative_time.learn(min(8.0, seconds / by_pool))
        self.first_event.set_prior(pool_fit.fixed_time, pool_fit.seconds_per_token)
        self.first_event.learn(tokens, seconds, includes_fixed_time=includes_fixed_time)
        self.pool.learn_first_event(tokens, seconds, includes_fixed_time=includes_fixed_time)
        self._refresh()

    def _compare(
        self, tokens: int, seconds: float, now: Instant, *, includes_fixed_time: bool
    ) -> None:
        """Compare recent prefill with its prediction, to notice a slowdown and its end."""
        expected = tokens * self.seconds_per_token
        actual = max(0.0, seconds - (self.fixed_time if includes_fixed_time else 0.0))
        kept = max(0.0, 1.0 - max(0.0, now - self._recent_at) / SLOWDOWN_SECONDS)
        self._recent_at = now
        self._recent_actual = kept * self._recent_actual + actual
        self._recent_expected = kept * self._recent_expected + expected
        prior = SLOWDOWN_PRIOR_SECONDS
        ratio = (self._recent_actual + prior) / (self._recent_expected + prior)
        if ratio < SLOWDOWN_RATIO:
            self._slow_until = now
            return
        self._slowdown = min(MAXIMUM_SLOWDOWN, ratio)
        self._slow_until = now + SLOWDOWN_HELD

    def _refresh(self) -> None:
        low, high = RATE_BOUNDS
        fit = self.first_event
        self.fixed_time = min(MAXIMUM_FIXED_TIME, fit.fixed_time)
        self.seconds_per_token = min(1.0 / low, max(1.0 / high, fit.seconds_per_token))
        self.pool.rate_version += 1

    def slowdown(self, now: Instant) -> float:
        """Return the factor by which the engine currently takes longer than estimated."""
        return self._slowdown if now < self._slow_until else 1.0

    def learn_error(self, urgency: int, error: float) -> None:
        """Learn by how much a first event was later than predicted.

        Args:
            urgency: Urgency of the request.
            error: Seconds; negative if it was earlier.
        """
        if not is_plausible(abs(error), PLAUSIBLE_FIRST_EVENT_SECONDS):
            self.pool.rejected += 1
            return
        mean = self.pool.mean_error(urgency)
        self.pool.learn_error(urgency, error)
        if mean is None:
            return
        relative = error / max(mean, MINIMUM_MEAN_ERROR)
        self._relative_error.learn(min(MAXIMUM_RELATIVE_ERROR, abs(relative)))
        self._lateness.learn(min(MAXIMUM_RELATIVE_ERROR, max(-MAXIMUM_RELATIVE_ERROR, relative)))
        late = max(0.0, self._lateness.shrunk(0.0))
        self.margin_ratio = late + MARGIN_DEVIATIONS * self._relative_error.shrunk(1.0)

    def margin(self, urgency: int) -> float | None:
        """Return the margin for prediction errors of an urgency in seconds; None if unknown."""
        mean = self.pool.mean_error(urgency)
        return None if mean is None else self.margin_ratio * mean

    # Gaps between events

    def learn_quiet_gap(self, mean: float, running: int, prefill_fraction: float) -> None:
        """Learn a mean gap that was measured with little prefill.

        Args:
            mean: Mean gap in seconds.
            running: Requests on the engine.
            prefill_fraction: Fraction of the time in prefill.
        """
        # In prefill a step takes about twice as long, so half of its time would pass anyway.
        gap = mean * (1.0 - prefill_fraction / 2)
        expected = self.pool.gaps.gap(running)
        if self.pool.gaps.samples >= MINIMUM_GAP_SAMPLES and expected > 0.0:
            self.relative_gap.learn(min(8.0, gap / expected))
        self.pool.learn_quiet_gap(running, gap)
        self._derive_gaps()

    def learn_prefill_gap(self, longest: float, running: int) -> None:
        """Learn the longest gap of a stream that was measured during continuous prefill."""
        if self.pool.gaps.samples < MINIMUM_GAP_SAMPLES:
            return
        added = max(0.0, longest - self.gap(running))
        self._prefill_gap.learn(added)
        self.pool.learn_prefill_gap(added)
        self._derive_gaps()

    def _derive_gaps(self) -> None:
        """Derive what placement asks for from the measurements of the engine and its pool."""
        pool, compared = self.pool, self.relative_time
        by_speed = compared.mean if compared.samples >= MINIMUM_COMPARED else 1.0
        relative = self.relative_gap.shrunk(by_speed)
        self._gap_version = pool.gap_version
        self._gap_base = relative * pool.gaps.base
        self._gap_per_running = relative * pool.gaps.per_running
        self._added_gap = self._prefill_gap.shrunk(relative * pool.prefill_gap.mean)
        spread = self._prefill_gap.shrunk_deviation(pool.prefill_gap.deviation)
        self._widest_added_gap = self._added_gap + SHARED_DEVIATIONS * spread

    def gap(self, running: int) -> float:
        """Return the gap between two events without prefill, beside some running requests."""
        if self._gap_version != self.pool.gap_version:
            self._derive_gaps()
        return self._gap_base + self._gap_per_running * running

    def gap_under_prefill(self, running: int) -> float:
        """Return the gap between two events during continuous prefill."""
        return self.gap(running) + self._added_gap

    def longest_gap(self, running: int, pending_prefill: float) -> float:
        """Return the longest gap to expect beside some seconds of pending prefill."""
        return self.gap(running) + min(pending_prefill, self._added_gap)

    def is_shared(self, shortest_pause: float | None, running: int) -> bool:
        """Return whether the engine takes short and long prompts.

        Its streams then stay within the shortest pause target also while it prefills without
        interruption. The requests that it runs beside its streams may grow in number.
        """
        if shortest_pause is None or not self.pool.knows_gaps:
            return False
        if self._gap_version != self.pool.gap_version:
            self._derive_gaps()
        gap = self._gap_base + self._gap_per_running * running + self._widest_added_gap
        fraction = SHARED_FRACTION_KEPT if self._shared else SHARED_FRACTION
        self._shared = gap <= fraction * shortest_pause
        return self._shared

    # Logs

    def estimate(self, running: int, now: Instant) -> EngineEstimate:
        """Return what is known of the engine."""
        knows_gaps = self.pool.knows_gaps
        return EngineEstimate(
            backend_id=self.backend_id,
            in_force=self.pool.in_force,
            fixed_time=self.fixed_time,
            tokens_per_second=1.0 / self.seconds_per_token,
            samples=round(self.first_event.samples),
            gap=self.gap(running) if knows_gaps else None,
            gap_under_prefill=self.gap_under_prefill(running) if knows_gaps else None,
            gap_samples=self._prefill_gap.samples,
            margin_ratio=self.margin_ratio if self.pool.in_force else None,
            slowdown=self.slowdown(now),
            shared=self._shared,
        )

    def changed_estimate(self, running: int, now: Instant) -> EngineEstimate | None:
        """Return the estimate if it differs notably from the one returned last."""
        if self._logged_at is not None and now < self._logged_at + LOG_INTERVAL:
            return None
        current = self.estimate(running, now)
        if self._logged is not None and not _differs(self._logged, current):
            return None
        self._logged, self._logged_at = current, now
        return current


def _differs(before: EngineEstimate, after: EngineEstimate) -> bool:
    if (before.in_force, before.shared) != (after.in_force, after.shared):
        return True
    pairs = (
        (before.fixed_time, after.fixed_time),
        (1_000.0 / before.tokens_per_second, 1_000.0 / after.tokens_per_second),
        (before.gap or 0.0, after.gap or 0.0),
        (before.gap_under_prefill or 0.0, after.gap_under_prefill or 0.0),
    )
    return any(
        abs(new - old) > NOTABLE_SECONDS and not old / NOTABLE_RATIO <= new <= old * NOTABLE_RATIO
        for old, new in pairs
    )
