"""Metrics of the connections of callers and of what they hold, read at each scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from .caller_stream import CallerConnections


class ConnectionGauges:
    """A collector of the connections of one server of callers."""

    def __init__(self, connections: CallerConnections) -> None:
        self._connections = connections

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges; called by the registry."""
        slots, held = self._connections.slots, self._connections.memory.held
        gauges = (
            ("connections", "Open connections of callers.", len(slots.table)),
            ("connections_highest", "Most open connections of callers.", slots.table.highest),
            ("connections_bound", "Bound of the open connections of callers.", slots.table.bound),
            ("caller_bytes", "Bytes received from callers and not served.", held.total),
            ("caller_bytes_highest", "Most bytes received and not served.", held.highest),
            ("caller_bytes_bound", "Bound of these bytes.", held.bounds.total_bytes),
        )
        for name, text, value in gauges:
            yield GaugeMetricFamily(f"ragwortwing_{name}", text, value=value)
        family = CounterMetricFamily(
            "ragwortwing_connections_turned_away",
            "Connections refused, or closed for a new one, by what they did.",
            labels=("activity",),
        )
        family.add_metric(("refused",), slots.refused)
        for activity, count in slots.closed_by_activity.items():
            family.add_metric((activity.name.lower(),), count)
        yield family
