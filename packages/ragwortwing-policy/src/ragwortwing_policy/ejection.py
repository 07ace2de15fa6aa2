"""Ejects agents that are silent or slower than their peers, and readmits them after probes.

A slow engine is worse than a dead one because it keeps accepting requests. Its own load report is
not sufficient, since it lags and does not include speed. Detection therefore uses the latencies
that requests observed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median
from typing import TYPE_CHECKING

from .chart import load_chart
from .clock import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable

SAMPLES_KEPT = 15
"""Number of latest latencies kept per agent and kind of latency."""


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Thresholds for the ejection and readmission of agents."""

    between_token_factor: float = 3.5
    """Multiple of the peers' median between-token time above which an agent is too slow. Engines of
    one pool may differ in speed by a factor of four, which is about 2.5 from the median."""
    first_token_factor: float = 5.0
    """Multiple of the peers' median time to first token above which an agent is too slow. It is
    larger because prompts vary more."""
    first_token_excess: timedelta = timedelta(seconds=1)
    """Minimum excess over the peers' median time to first token for an ejection."""
    minimum_samples: int = 5
    """Minimum latencies of an agent before it is evaluated."""
    minimum_peers: int = 2
    """Minimum number of peers with enough latencies before an agent is evaluated."""
    maximum_share: float = 0.34
    """Maximum share of a pool that may be ejected at the same time."""
    sample_lifetime: timedelta = timedelta(seconds=30)
    """Age of an agent's newest latency above which all its latencies are ignored."""
    silence: timedelta = timedelta(seconds=3)
    """Time without progress on any running request after which an agent is ejected."""
    first_ejection: timedelta = timedelta(seconds=2)
    """Duration of the first ejection; each failed probe doubles it."""
    longest_ejection: timedelta = timedelta(seconds=60)
    probes: int = 3
    """Number of latencies within the peers' range that close the circuit again."""
    urgent_probe_after: timedelta = timedelta(seconds=4)
    """Time after the end of an ejection from which a request of the most urgent tier may be a
    probe."""
    probe_lifetime: timedelta = timedelta(seconds=3)
    """Time after which a probe without a result may be followed by another one."""


class _Latencies:
    """Latest latencies of one kind, with a cached median."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._median: float | None = None
        self._newest_at: Instant = 0.0

    def add(self, seconds: float, now: Instant, since: Instant) -> None:
        if self._newest_at < since:
            self._samples.clear()
        self._samples.append(seconds)
        self._newest_at = now
        self._median = None

    def median(self, since: Instant, minimum: int) -> float | None:
        """Return the median, or None if there are too few samples or the newest is too old."""
        if len(self._samples) < minimum or self._newest_at < since:
            return None
        if self._median is None:
            self._median = median(self._samples)
        return self._median

    def clear(self) -> None:
        self._samples.clear()
        self._median = None


@dataclass(slots=True)
class _Circuit:
    """Circuit breaker state and latencies of one agent."""

    state: str
    first_token: _Latencies = field(default_factory=_Latencies)
    between_tokens: _Latencies = field(default_factory=_Latencies)
    running: int = 0
    progressed_at: Instant = 0.0
    open_until: Instant = 0.0
    ejections: int = 0
    successful_probes: int = 0
    probe_until: Instant = 0.0


class OutlierDetector:
    """Detects slow and silent agents with one circuit breaker per agent."""

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._chart = load_chart("circuit")
        self._circuits_by_id: dict[str, _Circuit] = {}

    def add(self, agent_id: str) -> None:
        """Start tracking an agent; has no effect for a known agent."""
        if agent_id not in self._circuits_by_id:
            self._circuits_by_id[agent_id] = _Circuit(self._chart.initial)

    def remove(self, agent_id: str) -> None:
        """Stop tracking an agent."""
        self._circuits_by_id.pop(agent_id, None)

    def submitted(self, agent_id: str, now: Instant) -> None:
        """Count a request that was sent to an agent."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is None:
            return
        if circuit.running == 0:
            circuit.progressed_at = now
        circuit.running += 1

    def progressed(self, agent_id: str, now: Instant) -> None:
        """Record that an agent delivered a chunk of an answer."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is not None:
            circuit.progressed_at = now

    def released(self, agent_id: str, now: Instant) -> None:
        """Count the end of a request at an agent, whatever its outcome."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is not None:
            circuit.running = max(0, circuit.running - 1)

    def observe(
        self,
        agent_id: str,
        first_token: timedelta | None,
        between_tokens: timedelta | None,
        peers: Iterable[str],
        now: Instant,
    ) -> None:
        """Record latencies observed by a request, and compare the agent with its peers."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is None:
            return
        since = now - self._settings.sample_lifetime.total_seconds()
        if first_token is not None:
            circuit.first_token.add(first_token.total_seconds(), now, since)
        if between_tokens is not None:
            circuit.between_tokens.add(between_tokens.total_seconds(), now, since)
        others = [each for each in peers if each != agent_id]
        if circuit.state == "half_open":
            self._evaluate_probe(circuit, others, between_tokens, first_token, now)
        elif circuit.state == "closed" and self._is_slow(circuit, others, now):
            self._eject(circuit, others, now)

    def is_ejected(self, agent_id: str, peers: Iterable[str], now: Instant) -> bool:
        """Return whether an agent is currently ejected."""
        return self.state(agent_id, peers, now) == "open"

    def state(self, agent_id: str, peers: Iterable[str], now: Instant) -> str:
        """Return the state of an agent's circuit, updated for silence and an expired ejection."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is None:
            return self._chart.initial
        if circuit.state == "open" and now >= circuit.open_until:
            circuit.state = self._chart.next(circuit.state, "probe")
            circuit.successful_probes = 0
            circuit.probe_until = 0.0
            circuit.progressed_at = now
        elif circuit.state != "open" and self._is_silent(circuit, now):
            self._eject(circuit, [each for each in peers if each != agent_id], now)
        return circuit.state

    def wants_probe(self, agent_id: str, urgent: bool, now: Instant) -> bool:
        """Return whether a request may be the probe of a half-open agent.

        A probe may get stuck at an agent that is still slow. Only one probe is sent at a time, and
        urgent requests serve as probes only some time after the ejection has ended.
        """
        circuit = self._circuits_by_id[agent_id]
        urgent_after = circuit.open_until + self._settings.urgent_probe_after.total_seconds()
        return now >= (max(circuit.probe_until, urgent_after) if urgent else circuit.probe_until)

    def probe_sent(self, agent_id: str, now: Instant) -> None:
        """Record that a request is sent to a half-open agent as its probe."""
        lifetime = self._settings.probe_lifetime.total_seconds()
        self._circuits_by_id[agent_id].probe_until = now + lifetime

    def _is_silent(self, circuit: _Circuit, now: Instant) -> bool:
        silent_for = now - circuit.progressed_at
        return circuit.running > 0 and silent_for >= self._settings.silence.total_seconds()

    def _is_slow(self, circuit: _Circuit, others: list[str], now: Instant) -> bool:
        since = now - self._settings.sample_lifetime.total_seconds()
        own_median = circuit.between_tokens.median(since, self._settings.minimum_samples)
        if own_median is not None and self._between_tokens_too_slow(own_median, others, since):
            return True
        own_median = circuit.first_token.median(since, self._settings.minimum_samples)
        return own_median is not None and self._first_token_too_slow(own_median, others, since)

    def _between_tokens_too_slow(self, seconds: float, others: list[str], since: Instant) -> bool:
        peer_median = self._median_of_peers("between_tokens", others, since)
        return (
            peer_median is not None and seconds > peer_median * self._settings.between_token_factor
        )

    def _first_token_too_slow(self, seconds: float, others: list[str], since: Instant) -> bool:
        peer_median = self._median_of_peers("first_token", others, since)
        if peer_median is None:
            return False
        excess = self._settings.first_token_excess.total_seconds()
        return seconds > max(peer_median * self._settings.first_token_factor, peer_median + excess)

    def _median_of_peers(self, kind: str, others: list[str], since: Instant) -> float | None:
        medians = []
        for agent_id in others:
            circuit = self._circuits_by_id.get(agent_id)
            if circuit is None or circuit.state != "closed":
                continue
            latencies: _Latencies = getattr(circuit, kind)
            own_median = latencies.median(since, self._settings.minimum_samples)
            if own_median is not None:
                medians.append(own_median)
        return median(medians) if len(medians) >= self._settings.minimum_peers else None

    def _evaluate_probe(
        self,
        circuit: _Circuit,
        others: list[str],
        between_tokens: timedelta | None,
        first_token: timedelta | None,
        now: Instant,
    ) -> None:
        since = now - self._settings.sample_lifetime.total_seconds()
        slow = between_tokens is not None and self._between_tokens_too_slow(
            between_tokens.total_seconds(), others, since
        )
        slow = slow or (
            first_token is not None
            and self._first_token_too_slow(first_token.total_seconds(), others, since)
        )
        if slow:
            self._eject(circuit, others, now)
            return
        circuit.successful_probes += 1
        if circuit.successful_probes >= self._settings.probes:
            self._recover(circuit)

    def _recover(self, circuit: _Circuit) -> None:
        circuit.state = self._chart.next(circuit.state, "recover")
        circuit.ejections = 0
        circuit.first_token.clear()
        circuit.between_tokens.clear()

    def _eject(self, circuit: _Circuit, others: list[str], now: Instant) -> None:
        if circuit.state == "closed" and not self._may_eject(others):
            return
        circuit.state = self._chart.next(circuit.state, "eject")
        first = self._settings.first_ejection.total_seconds()
        longest = self._settings.longest_ejection.total_seconds()
        circuit.open_until = now + min(longest, first * 2**circuit.ejections)
        circuit.ejections += 1

    def _may_eject(self, others: list[str]) -> bool:
        # A network problem of this entry or a burst of long prompts makes every agent look slow.
        # Ejecting them one after another would overload the remaining ones. The share is limited
        # by counting all circuits of the pool that are not closed.
        circuits = [self._circuits_by_id[each] for each in others if each in self._circuits_by_id]
        ejected = sum(each.state != "closed" for each in circuits)
        return ejected + 1 <= (len(circuits) + 1) * self._settings.maximum_share
