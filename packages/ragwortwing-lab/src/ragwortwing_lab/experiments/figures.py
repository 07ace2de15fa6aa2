"""Computes the figures of a run, per request class and in total."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.outcomes import OutcomeKind
from ragwortwing_policy.routing import BackendKind

if TYPE_CHECKING:

    from ragwortwing_policy.configuration import RequestClass

    from ..model.entry import Record
    from ..model.site import Trace


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """The requests of one class under one variant."""

    name: str
    tier: int
    offered: int
    """Requests sent, including retries."""
    attained: int
    """Completed with time to first token and between tokens within the class's targets."""
    completed: int
    not_run: int
    unknown: int
    failed: int
    unfinished: int
    """Still running or queued when the run stopped."""
    inversions: int
    """Refused while a less urgent request ran on an engine that could have served them."""
    first_token_p50: float | None
    """Seconds, for requests that received a token or an answer."""
    first_token_p99: float | None

    @property
    def attainment(self) -> float:
        """Share of offered requests that attained their targets."""
        return self.attained / self.offered if self.offered else 1.0


@dataclass(frozen=True, slots=True)
class VariantFigures:
    """One run of one variant."""

    variant: str
    classes_by_name: Mapping[str, ClassFigures]
    useful_tokens: int
    """Tokens of completed answers."""
    attained_tokens: int
    """Tokens of answers that attained their class's targets."""
    orders: int
    """Completed orders."""
    generated_tokens: int
    wasted_tokens: int
    """Tokens generated for requests that did not complete, or generated repeatedly."""
    prefilled_tokens: int
    """Prompt tokens processed, without those found in a prefix cache."""
    preemptions: int
    messages_per_request: float
    """Reservations, grants, refusals, withdrawals and bodies; not load reports or answer chunks."""

    @property
    def inversions(self) -> int:
        """Requests of any class refused while a less urgent one ran."""
        return sum(each.inversions for each in self.classes_by_name.values())

    @property
    def wasted_share(self) -> float:
        """Share of the generated tokens that were wasted."""
        return self.wasted_tokens / self.generated_tokens if self.generated_tokens else 0.0


def figures_of(trace: Trace, classes_by_name: Mapping[str, RequestClass]) -> VariantFigures:
    """Compute the figures of one run."""
    records_by_class: dict[str, list[Record]] = {}
    for record in trace.records:
        records_by_class.setdefault(record.arrival.class_name, []).append(record)
    by_name = {
        name: _figures_of_class(classes_by_name[name], records)
        for name, records in sorted(records_by_class.items())
    }
    engine_records = [r for r in trace.records if r.arrival.kind is BackendKind.ENGINE]
    useful = sum(each.tokens for each in engine_records if _kind(each) is OutcomeKind.COMPLETED)
    unfinished = sum(each.tokens for each in engine_records if each.outcome is None)
    return VariantFigures(
        variant=trace.variant,
        classes_by_name=by_name,
        useful_tokens=useful,
        attained_tokens=sum(
            each.tokens
            for each in engine_records
            if attained(each, classes_by_name[each.arrival.class_name])
        ),
        orders=sum(
            _kind(each) is OutcomeKind.COMPLETED
            for each in trace.records
            if each.arrival.kind is BackendKind.SERVICE
        ),
        generated_tokens=trace.generated,
        wasted_tokens=max(0, trace.generated - useful - unfinished),
        prefilled_tokens=trace.prefilled,
        preemptions=trace.preemptions,
        messages_per_request=trace.messages / max(1, len(trace.records)),
    )


def attained(record: Record, request_class: RequestClass) -> bool:
    """Return whether a request completed within its class's targets."""
    if _kind(record) is not OutcomeKind.COMPLETED:
        return False
    assert record.ended_at is not None
    assert record.first_at is not None
    at, target = record.arrival.at, request_class.first_token_target.total_seconds()
    if record.arrival.kind is BackendKind.SERVICE:
        return record.ended_at - at <= target
    if record.first_at - at > target:
        return False
    between = (record.ended_at - record.first_at) / max(1, record.tokens - 1)
    return between <= request_class.between_token_target.total_seconds()


def _figures_of_class(request_class: RequestClass, records: list[Record]) -> ClassFigures:
    kinds = [_kind(each) for each in records]
    waits = sorted(r.first_at - r.arrival.at for r in records if r.first_at is not None)
    return ClassFigures(
        name=request_class.name,
        tier=request_class.tier,
        offered=len(records),
        attained=sum(attained(each, request_class) for each in records),
        completed=kinds.count(OutcomeKind.COMPLETED),
        not_run=kinds.count(OutcomeKind.NOT_RUN),
        unknown=kinds.count(OutcomeKind.UNKNOWN),
        failed=kinds.count(OutcomeKind.FAILED),
        unfinished=kinds.count(None),
        inversions=sum(each.inverted for each in records),
        first_token_p50=quantile(waits, 0.5),
        first_token_p99=quantile(waits, 0.99),
    )


def quantile(ordered: list[float], part: float) -> float | None:
    """Return a quantile of ordered values by the nearest rank below.

    Example:
        >>> quantile([1.0, 2.0, 3.0], 0.5)
        2.0
    """
    return ordered[int(part * (len(ordered) - 1))] if ordered else None


def _kind(record: Record) -> OutcomeKind | None:
    return record.outcome.kind if record.outcome is not None else None
