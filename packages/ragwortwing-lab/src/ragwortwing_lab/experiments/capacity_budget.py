"""Extrapolates measured slopes to resource totals at the target size."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.subsets import subset_size

from .slopes import MessageCost, Slope

if TYPE_CHECKING:
    from collections.abc import Sequence

SECONDS_PER_DAY = 86_400
HEARTBEATS = "all: heartbeats of a second at one end, one each way, by connection"
CONNECTION = "all: memory of a connection's end"
BASE_MEMORY_BYTES = 53e6
"""Resident memory of an idle entry or agent, as measured by the `relay` experiment."""
CONTROL_MEMORY_LIMIT = 64e6
CONTROL_BYTES_LIMIT = 22_000.0
CONTROL_CPU_LIMIT = 0.025
CHANGES_PER_REPLACEMENT = 2
"""A replacement removes one VM from the list and adds another."""

BETWEEN_TOKENS_LIMIT = 0.045
"""Longest time, in seconds, that the token relay loop may be blocked."""
APPENDS_LIMIT = 300.0
"""Appends per second of the platform's log, specified as "several hundred": the low end."""


@dataclass(frozen=True, slots=True)
class TargetSize:
    """Deployment size expected in two years."""

    entries: int = 340
    agents: int = 790
    requests_per_second: float = 13_000.0
    tokens_per_second: float = 3.6e6
    accounts: int = 3_500
    models: int = 27
    agents_per_model: int = 3
    """Agents per model that an entry connects to.

    Three allow it to serve the model when one agent is lost and another is full.
    """
    configuration_changes_per_day: int = 1_600
    replacements_per_day: int = 112
    """VMs replaced per day, including failed ones."""
    heartbeat_interval: float = 2.0
    """Seconds between heartbeats in each direction at this size."""
    order_share: float = 0.1
    """Share of requests that are keyed orders; an assumption, not confirmed by any user."""
    order_window: float = 3_600.0
    """Seconds for which order keys are retained at this size."""
    service_agents: int = 80
    """Agents of plain services; an assumption, as today they are a quarter to a half of all."""
    preset_share: float = 0.9
    """Share of configuration changes that are preset switches (small records); an assumption."""
    accounts_in_use: float = 0.3
    """Share of accounts that one entry sees within an hour; an assumption."""


@dataclass(frozen=True, slots=True)
class BudgetLine:
    """One resource total with an optional budget."""

    role: str
    quantity: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def holds(self) -> bool:
        """Whether the total is within its budget."""
        return self.limit is None or self.value <= self.limit


@dataclass(frozen=True, slots=True)
class Measured:
    """Slopes and message costs by name."""

    slopes: Mapping[str, Slope]
    messages: Mapping[str, MessageCost]

    def slope(self, name: str) -> float:
        """Return the cost per additional unit."""
        return self.slopes[name].slope


def budget(
    slopes: Mapping[str, Slope], messages: Sequence[MessageCost], size: TargetSize
) -> tuple[BudgetLine, ...]:
    """Return all resource totals at a size."""
    measured = Measured(slopes, {each.name: each for each in messages})
    return (
        *_entry_lines(measured, size),
        *_agent_lines(measured, size),
        *_log_lines(measured, size),
    )


def _entry_lines(measured: Measured, size: TargetSize) -> tuple[BudgetLine, ...]:
    connections = _connections(size)
    change = _change_bytes(measured, size) * size.configuration_changes_per_day / SECONDS_PER_DAY
    heartbeat_rate = connections / size.heartbeat_interval
    heartbeat_bytes = measured.messages["Heartbeat"].wire_bytes * 2 * heartbeat_rate
    heartbeat_cpu = measured.slope(HEARTBEATS) * heartbeat_rate / 1e6
    subset_cpu = _subset_cpu(measured, size)
    fold_cpu = _fold_cpu(measured, size)
    return (
        BudgetLine("entry", "agents connected to", connections, "connections"),
        BudgetLine("entry", "heartbeats, both ways", heartbeat_bytes, "B/s"),
        BudgetLine("entry", "configuration read", change, "B/s"),
        BudgetLine(
            "entry", "control traffic", heartbeat_bytes + change, "B/s", CONTROL_BYTES_LIMIT
        ),
        BudgetLine("entry", "heartbeat processing", heartbeat_cpu, "cores"),
        BudgetLine("entry", "configuration folding", fold_cpu, "cores"),
        BudgetLine(
            "entry",
            "loop stopped by a publication",
            _publication_seconds(measured, size),
            "s",
            BETWEEN_TOKENS_LIMIT,
        ),
        BudgetLine("entry", "subset assignment", subset_cpu, "cores"),
        BudgetLine(
            "entry",
            "control processor time",
            heartbeat_cpu + fold_cpu + subset_cpu,
            "cores",
            CONTROL_CPU_LIMIT,
        ),
        BudgetLine(
            "entry",
            "control memory",
            _entry_memory(measured, size, connections),
            "B",
            CONTROL_MEMORY_LIMIT,
        ),
        BudgetLine("entry", "requests", size.requests_per_second / size.entries, "1/s"),
        BudgetLine("entry", "tokens relayed", size.tokens_per_second / size.entries, "tokens/s"),
    )


def _agent_lines(measured: Measured, size: TargetSize) -> tuple[BudgetLine, ...]:
    connections = _connections(size) * size.entries / size.agents
    change = _change_bytes(measured, size) * size.configuration_changes_per_day / SECONDS_PER_DAY
    heartbeat_rate = connections / size.heartbeat_interval
    heartbeat_bytes = measured.messages["Heartbeat"].wire_bytes * 2 * heartbeat_rate
    heartbeat_cpu = measured.slope(HEARTBEATS) * heartbeat_rate / 1e6
    fold_cpu = _fold_cpu(measured, size)
    keys = size.requests_per_second * size.order_share * size.order_window
    ledger = measured.slope("agent of a service: memory of an order key") * keys
    claims = measured.slope("log: bytes of a claim in a batch")
    claims_read = claims * size.requests_per_second * size.order_share
    return (
        BudgetLine("agent", "entries connected", connections, "connections"),
        BudgetLine(
            "agent", "control traffic", heartbeat_bytes + change, "B/s", CONTROL_BYTES_LIMIT
        ),
        BudgetLine(
            "agent", "control processor time", heartbeat_cpu + fold_cpu, "cores", CONTROL_CPU_LIMIT
        ),
        BudgetLine(
            "agent",
            "control memory",
            BASE_MEMORY_BYTES
            + _configuration_memory(measured, size)
            + measured.slope(CONNECTION) * connections,
            "B",
            CONTROL_MEMORY_LIMIT,
        ),
        BudgetLine("agent of a service", "order keys held", keys, "keys"),
        BudgetLine("agent of a service", "claims read", claims_read, "B/s", CONTROL_BYTES_LIMIT),
        BudgetLine(
            "agent of a service",
            "control memory",
            BASE_MEMORY_BYTES + _configuration_memory(measured, size) + ledger,
            "B",
            CONTROL_MEMORY_LIMIT,
        ),
    )


def _log_lines(measured: Measured, size: TargetSize) -> tuple[BudgetLine, ...]:
    nodes = size.entries + size.agents
    changes = size.configuration_changes_per_day / SECONDS_PER_DAY
    starts = size.replacements_per_day / SECONDS_PER_DAY
    batch_interval = size.service_agents / APPENDS_LIMIT
    orders = size.requests_per_second * size.order_share
    return (
        BudgetLine("log", "configuration and start records", changes + starts, "appends/s"),
        BudgetLine("log", "orders claimed one by one", orders * 2, "appends/s", APPENDS_LIMIT),
        BudgetLine("log", "batch interval that fits the rate", batch_interval, "s"),
        BudgetLine(
            "log",
            "readers of the configuration stream",
            nodes * _change_bytes(measured, size) * changes,
            "B/s",
        ),
        BudgetLine("log", "held reads", float(nodes), "connections"),
    )


def _connections(size: TargetSize) -> int:
    return max(subset_size(size.entries, size.agents), size.models * size.agents_per_model)


def _change_bytes(measured: Measured, size: TargetSize) -> float:
    """Return the mean bytes per change; only a publication holds the whole configuration."""
    publication = measured.slopes["all: bytes of a publication, by account"].at(size.accounts)
    return (1 - size.preset_share) * publication


def _publication_seconds(measured: Measured, size: TargetSize) -> float:
    return measured.slopes["all: fold of one changed account, by account"].at(size.accounts) / 1e6


def _fold_cpu(measured: Measured, size: TargetSize) -> float:
    publication = _publication_seconds(measured, size) * 1e6
    switch = measured.slopes["all: fold of a preset switch, by account"].at(size.accounts)
    mean = (1 - size.preset_share) * publication + size.preset_share * switch
    return mean * size.configuration_changes_per_day / SECONDS_PER_DAY / 1e6


def _subset_cpu(measured: Measured, size: TargetSize) -> float:
    after_entry = measured.slopes["entry: subset after an entry changed, by entry"]
    after_agent = measured.slopes["entry: subset after an agent changed, by entry"]
    share = size.entries / (size.entries + size.agents)
    mean = share * after_entry.at(size.entries) + (1 - share) * after_agent.at(size.entries)
    return CHANGES_PER_REPLACEMENT * mean * size.replacements_per_day / SECONDS_PER_DAY / 1e6


def _configuration_memory(measured: Measured, size: TargetSize) -> float:
    accounts = measured.slope("all: memory of a configured account") * size.accounts
    models = measured.slope("all: memory of a configured model") * size.models
    return accounts + models


def _entry_memory(measured: Measured, size: TargetSize, connections: int) -> float:
    accounts = measured.slope("entry: memory of an account in use")
    agents = measured.slope("entry: memory of an agent in routing")
    return (
        BASE_MEMORY_BYTES
        + _configuration_memory(measured, size)
        + accounts * size.accounts * size.accounts_in_use
        + (agents + measured.slope(CONNECTION)) * connections
    )
