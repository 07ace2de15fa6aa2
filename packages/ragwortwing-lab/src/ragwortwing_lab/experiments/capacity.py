"""Measures how state, messages, CPU time and memory scale, and extrapolates to the target size."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.account_limits import AccountLimiter
from ragwortwing_policy.configuration import (
    ClientAccount,
    Configuration,
    Model,
    Preset,
    RequestClass,
)
from ragwortwing_policy.configuration_document import read_document, write_document
from ragwortwing_policy.configuration_log import (
    ConfigurationLogState,
    PresetSwitch,
    Publication,
    RawRecord,
    apply,
    encode_entry,
)
from ragwortwing_policy.dispatch import Dispatch
from ragwortwing_policy.order_claims import Claim, ClaimBatch, OrderKey, OrderLedger, encode_batch
from ragwortwing_policy.reservations import LoadReport, Reservation
from ragwortwing_policy.retries import RetryBudget
from ragwortwing_policy.routing import AgentView, BackendKind, RouteQuery, Router
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings
from ragwortwing_policy.subsets import SubsetAgent, subset, subset_size
from ragwortwing_wire.codec import decode, encode
from ragwortwing_wire.framing import with_length
from ragwortwing_wire.messages import Chunk, Chunks, Credit, Granted, Heartbeat, Reserve, Withdraw

from .capacity_budget import BudgetLine, TargetSize, budget
from .capacity_connections import connection_memory, heartbeat_cpu
from .capacity_tables import render_tables
from .registry import experiment
from .slopes import MessageCost, Slope, cpu_microseconds, fit, memory_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

NOW = 1_000.0
DRAFT_TIER = 5
AGENTS = 790
BYTES_PER_TOKEN = 190
"""Size of one token's event as written by the stand-in engine."""
LOAD = LoadReport(16, 4, 16, timedelta(milliseconds=120))


@dataclass(frozen=True, slots=True)
class Capacity:
    """All slopes, message costs and extrapolated totals with their budgets."""

    slopes: tuple[Slope, ...]
    messages: tuple[MessageCost, ...]
    lines: tuple[BudgetLine, ...]

    def render(self) -> str:
        """Return the tables of slopes, messages and budgets."""
        return render_tables(self.slopes, self.messages, self.lines)


@experiment("capacity")
def run(seed: int) -> Capacity:
    """Slopes of state, messages, CPU time and memory; totals at the target size."""
    slopes = tuple(measure(seed) for measure in SLOPES)
    messages = tuple(_message_cost(each) for each in _sample_messages())
    lines = budget({each.name: each for each in slopes}, messages, TargetSize())
    return Capacity(slopes, messages, lines)


def configuration(accounts: int, models: int = 27) -> Configuration:
    """Return a configuration with the given numbers of accounts and models."""
    classes = {f"class-{tier}": RequestClass(f"class-{tier}", tier) for tier in range(6)}
    return Configuration(
        revision=1,
        preset="ordinary",
        classes_by_name=classes,
        accounts_by_name={name: _account(name) for name in _names("account", accounts)},
        models_by_name={name: Model(name) for name in _names("model", models)},
        presets_by_name={"ordinary": Preset("ordinary"), "peak": Preset("peak")},
    )


def _account(name: str) -> ClientAccount:
    return ClientAccount(
        name,
        key_digests=(name.encode().hex().ljust(64, "0")[:64],),
        classes=("class-0", "class-3"),
        requests_per_second=10.0,
        concurrency=50,
    )


def _names(prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{index:05}" for index in range(count)]


def _queued_request_memory(_: int) -> Slope:
    return fit(
        "agent: memory of a queued request",
        "B",
        (500, 2_000, 8_000),
        lambda size: memory_bytes(lambda: _filled_scheduler(size)),
    )


def _queued_request_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        scheduler = _filled_scheduler(size)
        reservation = _reservation("extra")

        def offer_and_withdraw() -> None:
            scheduler.offer(reservation, NOW)
            scheduler.withdraw("extra", NOW)

        return cpu_microseconds(offer_and_withdraw)

    return fit("agent: decision on an offer, by queue", "µs", (500, 2_000, 8_000), cost)


def _filled_scheduler(size: int) -> Scheduler:
    long_wait_class = RequestClass(
        "draft",
        DRAFT_TIER,
        first_token_target=timedelta(days=1),
        queue_limit=timedelta(days=1),
        deadline=timedelta(days=1),
    )
    scheduler = Scheduler(
        SchedulerSettings(),
        replace(configuration(0), classes_by_name={"draft": long_wait_class}),
    )
    for index in range(size):
        scheduler.offer(_reservation(f"request-{index}"), NOW)
    return scheduler


def _reservation(request_id: str) -> Reservation:
    return Reservation(request_id, "draft", "account-00001", "model-00001", NOW + 86_400, 200, 300)


def _account_memory(_: int) -> Slope:
    def build(size: int) -> Callable[[], object]:
        shared = configuration(size)

        def limiter() -> AccountLimiter:
            filled = AccountLimiter(shared, entries=340)
            for name in shared.accounts_by_name:
                filled.admit(name, NOW)
            return filled

        return limiter

    return fit(
        "entry: memory of an account in use",
        "B",
        (500, 1_500, 3_500),
        lambda size: memory_bytes(build(size)),
    )


def _configured_account_memory(_: int) -> Slope:
    return fit(
        "all: memory of a configured account",
        "B",
        (500, 1_500, 3_500),
        lambda size: memory_bytes(lambda: _folded(size)),
    )


def _folded(accounts: int) -> ConfigurationLogState:
    return apply(ConfigurationLogState(), _publication_record(accounts)).state


def _publication_record(accounts: int) -> RawRecord:
    document = write_document(configuration(accounts))
    entry = Publication("record-1", None, "ordinary", document)
    return RawRecord(0, encode_entry(entry))


def _publication_bytes(_: int) -> Slope:
    return fit(
        "all: bytes of a publication, by account",
        "B",
        (500, 1_500, 3_500),
        lambda size: float(len(_publication_record(size).payload)),
    )


def _publication_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        record = _publication_record(size)
        return cpu_microseconds(lambda: apply(ConfigurationLogState(), record))

    return fit("all: fold of a publication, by account", "µs", (500, 1_500, 3_500), cost)


def _changed_account_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        state = _folded(size)
        document = write_document(configuration(size))
        document["accounts"]["account-00007"]["weight"] = 2.0
        record = RawRecord(1, encode_entry(Publication("record-2", 0, "ordinary", document)))
        return cpu_microseconds(lambda: apply(state, record))

    return fit("all: fold of one changed account, by account", "µs", (500, 1_500, 3_500), cost)


def _preset_switch_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        state = _folded(size)
        entry = PresetSwitch("record-2", 0, "peak")
        record = RawRecord(1, encode_entry(entry))
        return cpu_microseconds(lambda: apply(state, record))

    return fit("all: fold of a preset switch, by account", "µs", (500, 1_500, 3_500), cost)


def _model_memory(_: int) -> Slope:
    def build(size: int) -> Callable[[], object]:
        document = write_document(configuration(0, size))
        return lambda: read_document(document, 0, "ordinary")

    return fit(
        "all: memory of a configured model",
        "B",
        (27, 270, 2_700),
        lambda size: memory_bytes(build(size)),
    )


def _member_memory(seed: int) -> Slope:
    return fit(
        "entry: memory of an agent in routing",
        "B",
        (16, 64, 256),
        lambda size: memory_bytes(lambda: _filled_router(seed, size)),
    )


def _choice_cpu(seed: int) -> Slope:
    def cost(size: int) -> float:
        router = _filled_router(seed, size)
        query = RouteQuery("request", "model-00001", BackendKind.ENGINE, prefix_hash=7)
        return cpu_microseconds(lambda: router.candidates(query, NOW))

    return fit("entry: choice of agents, by pool size", "µs", (4, 16, 64), cost)


def _filled_router(seed: int, size: int) -> Router:
    router = Router("zone-1", Random(seed))
    for agent_id in _names("agent", size):
        view = AgentView(agent_id, "zone-1", BackendKind.ENGINE, frozenset({"model-00001"}))
        router.update(replace(view, load=LOAD), NOW)
    return router


def _request_memory(seed: int) -> Slope:
    def build(size: int) -> list[Dispatch]:
        router = _filled_router(seed, 16)
        retry_budget = RetryBudget()
        dispatches = []
        for request_id in _names("request", size):
            query = RouteQuery(request_id, "model-00001", BackendKind.ENGINE)
            dispatch = Dispatch(query, router, retry_budget, NOW + 60.0)
            dispatch.on_start(NOW)
            dispatches.append(dispatch)
        return dispatches

    return fit(
        "entry: memory of a request's dispatch",
        "B",
        (500, 1_000, 2_000),
        lambda size: memory_bytes(lambda: build(size)),
    )


def _order_key_memory(_: int) -> Slope:
    return fit(
        "agent of a service: memory of an order key",
        "B",
        (1_000, 5_000, 20_000),
        lambda size: memory_bytes(lambda: _filled_ledger(size)),
    )


def _order_key_bytes(_: int) -> Slope:
    return fit(
        "log: bytes of a claim in a batch",
        "B",
        (1, 16, 64),
        lambda size: float(len(_claim_batch(0, size))),
    )


def _filled_ledger(size: int) -> OrderLedger:
    ledger = OrderLedger()
    for offset in range(size // 10):
        ledger.apply(offset, _claim_batch(offset, 10))
    return ledger


def _claim_batch(offset: int, size: int) -> bytes:
    claims = tuple(
        Claim(f"claim-{offset}-{index}", OrderKey("account-1", f"key-{offset}-{index}"), bytes(32))
        for index in range(size)
    )
    return encode_batch(ClaimBatch("agent-1", 1_700_000_000.0, claims))


def _subset_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        entries = _names("entry", size)
        target_size = subset_size(size, AGENTS)
        calls = count()

        def reassign() -> None:
            # A new entry name on every call defeats caching.
            changed_entries = [*entries[1:], f"entry-new-{next(calls)}"]
            subset(entries[1], changed_entries, _subset_agents(), target_size)

        return cpu_microseconds(reassign)

    return fit("entry: subset after an entry changed, by entry", "µs", (85, 170, 340), cost)


def _subset_after_agent_cpu(_: int) -> Slope:
    def cost(size: int) -> float:
        entries = _names("entry", size)
        target_size = subset_size(size, AGENTS)
        calls = count()

        def replace_agent() -> None:
            agents = _subset_agents()
            agents[7] = replace(agents[7], agent_id=f"agent-new-{next(calls)}")
            subset(entries[0], entries, agents, target_size)

        replace_agent()
        return cpu_microseconds(replace_agent)

    return fit("entry: subset after an agent changed, by entry", "µs", (85, 170, 340), cost)


def _subset_agents() -> list[SubsetAgent]:
    return [
        SubsetAgent(name, f"zone-{index % 7}", frozenset({f"model-{index % 27}"}))
        for index, name in enumerate(_names("agent", AGENTS))
    ]


SLOPES: tuple[Callable[[int], Slope], ...] = (
    connection_memory,
    heartbeat_cpu,
    _request_memory,
    _member_memory,
    _choice_cpu,
    _account_memory,
    _subset_cpu,
    _subset_after_agent_cpu,
    _queued_request_memory,
    _queued_request_cpu,
    _order_key_memory,
    _order_key_bytes,
    _configured_account_memory,
    _model_memory,
    _publication_bytes,
    _publication_cpu,
    _changed_account_cpu,
    _preset_switch_cpu,
)
"""Functions that each measure one slope, given a seed."""


def _sample_messages() -> tuple[object, ...]:
    request_id = "0123456789abcdef01234567"
    chunk = Chunk(request_id, 40, b"x" * BYTES_PER_TOKEN, 1)
    return (
        Heartbeat(12_345, 1_600, LOAD),
        Reserve(request_id, "class-0", "account-1", "model-1", timedelta(seconds=30), 200, 300, 7),
        Granted(request_id, timedelta(seconds=1)),
        Withdraw(request_id),
        Credit(request_id, 41, 190),
        Chunks((chunk,)),
        Chunks((chunk,) * 16),
    )


def _message_cost(message: object) -> MessageCost:
    name = type(message).__name__
    if isinstance(message, Chunks):
        name = f"{name} of {len(message.chunks)}"
    frame = encode(message)  # type: ignore[arg-type]
    return MessageCost(
        name,
        len(with_length(frame)),
        cpu_microseconds(lambda: encode(message)),  # type: ignore[arg-type]
        cpu_microseconds(lambda: decode(frame)),
    )
