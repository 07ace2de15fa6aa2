"""Ejection of agents that are slow against their peers or silent, and their return by probes.

A slow engine is worse than a dead one: it goes on taking requests. Its own load report cannot be
believed (it lags, and it says nothing of speed), so the verdict rests on what requests saw.
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
"""Latest latencies kept for each agent and kind of latency."""


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When an agent is ejected and when it comes back."""

    between_token_factor: float = 3.5
    """Multiple of the peers' median between-token time that is too slow; engines of one pool may
    differ by the factor four in speed, about 2.5 from the median."""
    first_token_factor: float = 5.0
    """Multiple of the peers' median time to first token that is too slow; prompts differ more."""
    first_token_excess: timedelta = timedelta(seconds=1)
    """Time to first token above the peers' median without which no agent is ejected for it."""
    minimum_samples: int = 5
    """Latencies of an agent before it is judged."""
    minimum_peers: int = 2
    """Other agents with enough latencies before one is judged."""
    maximum_share: float = 0.34
    """Share of a pool that may be ejected at one time."""
    sample_lifetime: timedelta = timedelta(seconds=30)
    """Age of an agent's newest latency at which its latencies no longer count."""
    silence: timedelta = timedelta(seconds=3)
    """Time without any progress, while requests run, after which an agent is ejected."""
    first_ejection: timedelta = timedelta(seconds=2)
    """Length of a first ejection; each failed probe doubles it."""
    longest_ejection: timedelta = timedelta(seconds=60)
    probes: int = 3
    """Latencies in the peers' range that close the circuit again."""
    urgent_probe_after: timedelta = timedelta(seconds=4)
    """Time without a probe after which a request of the most urgent tier may be one."""
    probe_lifetime: timedelta = timedelta(seconds=3)
    """Time after which a probe that brought no latency makes room for another."""


class _Latencies:
    """Latest latencies of one kind, and their median, which is taken once for each change."""

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
        """Return the median, or None where there are too few samples or the newest is too old."""
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
    """What is known of one agent."""

    state: str
    first_token: _Latencies = field(default_factory=_Latencies)
    between_tokens: _Latencies = field(default_factory=_Latencies)
    running: int = 0
    progressed_at: Instant = 0.0
    open_until: Instant = 0.0
    ejections: int = 0
    good_probes: int = 0
    probe_until: Instant = 0.0


class OutlierDetector:
    """Keeps one circuit for each agent."""

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._chart = load_chart("circuit")
        self._circuits_by_id: dict[str, _Circuit] = {}

    def add(self, agent_id: str) -> None:
        """Begin to watch an agent; a known one is left as it is."""
        if agent_id not in self._circuits_by_id:
            self._circuits_by_id[agent_id] = _Circuit(self._chart.initial)

    def remove(self, agent_id: str) -> None:
        """Forget an agent."""
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
        """Note that an agent gave a piece of some answer."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is not None:
            circuit.progressed_at = now

    def released(self, agent_id: str, now: Instant) -> None:
        """Count a request that ended at an agent in any way."""
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
        """Record latencies that a request saw, and judge the agent against its peers."""
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
            self._judge_probe(circuit, others, between_tokens, first_token, now)
        elif circuit.state == "closed" and self._is_slow(circuit, others, now):
            self._eject(circuit, others, now)

    def is_ejected(self, agent_id: str, peers: Iterable[str], now: Instant) -> bool:
        """Return whether requests should not be at an agent now."""
        return self.state(agent_id, peers, now) == "open"

    def state(self, agent_id: str, peers: Iterable[str], now: Instant) -> str:
        """Return the state of an agent's circuit, after silence and the end of an ejection."""
        circuit = self._circuits_by_id.get(agent_id)
        if circuit is None:
            return self._chart.initial
        if circuit.state == "open" and now >= circuit.open_until:
            circuit.state = self._chart.next(circuit.state, "probe")
            circuit.good_probes = 0
            circuit.probe_until = 0.0
            circuit.progressed_at = now
        elif circuit.state != "open" and self._is_silent(circuit, now):
            self._eject(circuit, [each for each in peers if each != agent_id], now)
        return circuit.state

    def wants_probe(self, agent_id: str, urgent: bool, now: Instant) -> bool:
        """Return whether a request may be the probe of a half-open agent.

        A probe may be stuck at an agent that is no better. Urgent requests are spared it while
        others may come, and there is one at a time.
        """
        circuit = self._circuits_by_id[agent_id]
        urgent_after = circuit.open_until + self._settings.urgent_probe_after.total_seconds()
        return now >= (max(circuit.probe_until, urgent_after) if urgent else circuit.probe_until)

    def probe_sent(self, agent_id: str, now: Instant) -> None:
        """Note that a request goes to a half-open agent as its probe."""
        lifetime = self._settings.probe_lifetime.total_seconds()
        self._circuits_by_id[agent_id].probe_until = now + lifetime

    def _is_silent(self, circuit: _Circuit, now: Instant) -> bool:
        silent_for = now - circuit.progressed_at
        return circuit.running > 0 and silent_for >= self._settings.silence.total_seconds()

    def _is_slow(self, circuit: _Circuit, others: list[str], now: Instant) -> bool:
        since = now - self._settings.sample_lifetime.total_seconds()
        own = circuit.between_tokens.median(since, self._settings.minimum_samples)
        if own is not None and self._between_tokens_too_slow(own, others, since):
            return True
        own = circuit.first_token.median(since, self._settings.minimum_samples)
        return own is not None and self._first_token_too_slow(own, others, since)

    def _between_tokens_too_slow(self, seconds: float, others: list[str], since: Instant) -> bool:
        usual = self._median_of_peers("between_tokens", others, since)
        return usual is not None and seconds > usual * self._settings.between_token_factor

    def _first_token_too_slow(self, seconds: float, others: list[str], since: Instant) -> bool:
        usual = self._median_of_peers("first_token", others, since)
        if usual is None:
            return False
        excess = self._settings.first_token_excess.total_seconds()
        return seconds > max(usual * self._settings.first_token_factor, usual + excess)

    def _median_of_peers(self, kind: str, others: list[str], since: Instant) -> float | None:
        medians = []
        for agent_id in others:
            circuit = self._circuits_by_id.get(agent_id)
            if circuit is None or circuit.state != "closed":
                continue
            latencies: _Latencies = getattr(circuit, kind)
            own = latencies.median(since, self._settings.minimum_samples)
            if own is not None:
                medians.append(own)
        return median(medians) if len(medians) >= self._settings.minimum_peers else None

    def _judge_probe(
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
        circuit.good_probes += 1
        if circuit.good_probes >= self._settings.probes:
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
        # Failure: the network of this entry, or a burst of long prompts, makes every agent look
        # slow. Ejecting one after the other would pile the load on the last ones; the bounded
        # share holds because it counts the pool's circuits that are not closed.
        circuits = [self._circuits_by_id[each] for each in others if each in self._circuits_by_id]
        ejected = sum(each.state != "closed" for each in circuits)
        return ejected + 1 <= (len(circuits) + 1) * self._settings.maximum_share
