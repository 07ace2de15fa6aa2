"""Finds single requests under which server processes end, and blocks their repeats.

A request is recognized by names: the id of the attempt, the id of the attempt whose stream it
resumes, and what it asks for, which its repeats under other ids share. Unlike the part of a prompt,
such a name is hardly ever shared with other requests: three ends under it are evidence enough, and
only a complete answer speaks against them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from ragwortwing_policy.clock import Instant

from .block_trials import TRIAL_INTERVALS, TrialBlock
from .process_ends import ProcessEnds

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence, Set

ENDS_TO_BLOCK = 3
"""Server processes that end under a request before its repeats are blocked."""

ENDS_IN_COMPANY_TO_BLOCK = 5
"""The same for a content if servers without it ended beside them."""

SEND_ORDER_MARGIN = 0.005
"""Seconds by which a send may seem to begin before an end that it follows: the two are reported by
different entries, each relative to the arrival of its message."""

EVIDENCE_SECONDS = 600.0
"""Seconds after which an end no longer counts."""

COMPANY_SECONDS = 0.25
"""Seconds within which ends of several servers may have a cause in common that is no request."""

COMPANY_ENDS = 2
"""Ends of servers without the request from which such a cause is assumed."""

BLOCK_SECONDS = 3_600.0
"""Seconds after the last end for which a block is kept."""

MAX_NAMES = 4_096
"""Maximum names with evidence; the oldest are dropped. A record takes 0.9 KB."""

MAX_BLOCKS = 256
"""Maximum blocked names."""


class NameKind(StrEnum):
    """What a name identifies."""

    ATTEMPT = "attempt"
    """One attempt of a caller, wherever and however often it arrives."""
    CONTENT = "content"
    """What a request asks for. Other callers of the account may ask for the same."""


class RequestName(NamedTuple):
    """A name by which a repeat of a request is recognized."""

    kind: NameKind
    value: str


RequestNames = tuple[RequestName, ...]


class LostRequest(NamedTuple):
    """A request that a server process had not answered completely when it ended."""

    names: RequestNames
    """Its own attempt first."""
    sent_at: Instant


@dataclass(slots=True)
class RequestBlock(TrialBlock):
    """A name whose requests are kept from servers."""

    name: RequestName
    since: Instant
    last_end_at: Instant
    processes: tuple[str, ...]
    """The server processes whose ends led to the block, and the last of later ones."""
    opens_at: Instant
    """When the next trial may be sent; inf if none may."""
    trial: int = 1
    """Index of that trial's interval."""


@dataclass(slots=True)
class _End:
    at: Instant
    sent_at: Instant
    attempts: set[RequestName] = field(default_factory=set)


class RequestLedger:
    """Ends of server processes under each request, from the reports of all entries.

    Example:
        >>> ledger = RequestLedger()
        >>> names = (RequestName(NameKind.ATTEMPT, "r-1"),)
        >>> for at in (1.0, 2.0, 3.0):
        ...     _ = ledger.record_end(f"i-{at}", [LostRequest(names, at - 0.1)], at, now=at)
        >>> ledger.blocked(names, now=4.0).processes
        ('i-1.0', 'i-2.0', 'i-3.0')
        >>> ledger.blocked(names, now=64.0) is None
        True
    """

    def __init__(self) -> None:
        self._ends_by_name: OrderedDict[RequestName, dict[str, _End]] = OrderedDict()
        """Ends since the latest answer, by server process."""
        self._blocks_by_name: OrderedDict[RequestName, RequestBlock] = OrderedDict()
        self._answered_at_by_name: OrderedDict[RequestName, Instant] = OrderedDict()
        """Latest answer of each request that was under suspicion."""
        self._ends = ProcessEnds()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known against any request."""
        return not self._ends_by_name and not self._blocks_by_name

    @property
    def blocks(self) -> tuple[RequestBlock, ...]:
        """The blocked names, the oldest first."""
        return tuple(self._blocks_by_name.values())

    def record_end(
        self, process: str, lost: Iterable[LostRequest], at: Instant, now: Instant
    ) -> tuple[RequestBlock, ...]:
        """Record the end of a server process and return the names that are blocked from now on.

        Several entries report the same end, each with the requests that it had on the server.

        Args:
            process: Identifies the process among all processes of all servers.
            lost: The requests that the process had not answered.
            at: When the process ended.
            now: The current instant.
        """
        process, at = self._ends.identify(process, at)
        lost = tuple(lost)
        explaining = [block for each in lost for block in self._blocks_of(each.names)]
        for block in explaining:
            block.last_end_at = max(block.last_end_at, at)
            if process not in block.processes:
                block.processes = (*block.processes[-(ENDS_TO_BLOCK + 1) :], process)
        if explaining or any(process in block.processes for block in self.blocks):
            self._discount({process})
            return ()
        for each in lost:
            for name in each.names:
                self._suspect(name, each, process, at)
        # A blocked attempt explains the ends under it: contents are judged without these.
        attempts = self._judge(NameKind.ATTEMPT, lost, process, now)
        return attempts + self._judge(NameKind.CONTENT, lost, process, now)

    def record_answer(self, names: Iterable[RequestName], at: Instant) -> RequestNames:
        """Record a complete answer; return the names against which there was evidence."""
        return tuple(name for name in names if self._clear(name, at))

    def ends(self, names: Iterable[RequestName]) -> int:
        """Return the number of processes that have ended under a request and count against it."""
        return max((len(self._counted(name)) for name in names), default=0)

    def blocked(self, names: Iterable[RequestName], now: Instant) -> RequestBlock | None:
        """Return the block that keeps a request from servers now, if any."""
        closed = [block for block in self._blocks_of(names) if block.opens_at > now]
        return max(closed, key=lambda block: block.opens_at, default=None)

    def begin_trial(self, names: Iterable[RequestName], now: Instant) -> tuple[RequestBlock, ...]:
        """Return the blocks that a request which is sent now puts to the test."""
        tested = tuple(self._blocks_of(names))
        for block in tested:
            block.begin_trial(now)
        return tested

    def merge(self, block: RequestBlock) -> bool:
        """Apply a block that another entry reports; return whether it was unknown."""
        if self._answered_at_by_name.get(block.name, -inf) >= block.last_end_at:
            return False
        known = self._blocks_by_name.get(block.name)
        if known is None:
            self._add(block)
            return True
        known.since = min(known.since, block.since)
        known.last_end_at = max(known.last_end_at, block.last_end_at)
        known.merge_trial(block)
        return False

    def release(self, value: str, now: Instant) -> RequestNames:
        """Unblock the names with a value at an operator's request; return them."""
        found = tuple(name for name in self._blocks_by_name if name.value == value)
        return self.record_answer(found, now)

    def expire(self, now: Instant) -> tuple[RequestBlock, ...]:
        """Remove evidence and blocks that are too old; return the blocks."""
        for name, ends in list(self._ends_by_name.items()):
            old = {process for process, end in ends.items() if now - end.at > EVIDENCE_SECONDS}
            self._remove_ends(name, old)
        expired = tuple(each for each in self.blocks if now - each.last_end_at > BLOCK_SECONDS)
        for block in expired:
            del self._blocks_by_name[block.name]
        return expired

    def _blocks_of(self, names: Iterable[RequestName]) -> Iterator[RequestBlock]:
        for name in names if self._blocks_by_name else ():
            block = self._blocks_by_name.get(name)
            if block is not None:
                yield block

    def _suspect(self, name: RequestName, lost: LostRequest, process: str, at: Instant) -> None:
        if self._answered_at_by_name.get(name, -inf) >= at:
            return
        ends = self._ends_by_name.setdefault(name, {})
        self._ends_by_name.move_to_end(name)
        end = ends.setdefault(process, _End(at, lost.sent_at))
        end.sent_at = max(end.sent_at, lost.sent_at)
        end.attempts.add(lost.names[0])
        if len(self._ends_by_name) > MAX_NAMES:
            self._ends_by_name.popitem(last=False)

    def _counted(self, name: RequestName) -> Sequence[str]:
        """Return the processes whose ends count against a name.

        Requests that ask for the same may be on several servers that end together for another
        reason. Against a content only those ends count under which a send followed the end before.
        """
        ends = self._ends_by_name.get(name, {})
        if name.kind is NameKind.ATTEMPT:
            return tuple(ends)
        counted, last_at = [], -inf
        for process, end in sorted(ends.items(), key=lambda each: each[1].at):
            if end.sent_at >= last_at - SEND_ORDER_MARGIN:
                counted.append(process)
                last_at = end.at
        return counted

    def _judge(
        self, kind: NameKind, lost: Iterable[LostRequest], process: str, now: Instant
    ) -> tuple[RequestBlock, ...]:
        """Block the names of a kind whose evidence suffices; discount what their blocks explain."""
        names = sorted({name for each in lost for name in each.names if name.kind is kind})
        blocks = tuple(
            self._block(name, now)
            for name in names
            if self._is_conclusive(name) and not self._may_be_explained(name, process)
        )
        blocked = {block.name for block in blocks}
        kept = {name for each in lost if blocked.intersection(each.names) for name in each.names}
        self._discount({process for block in blocks for process in block.processes}, kept)
        return blocks

    def _is_conclusive(self, name: RequestName) -> bool:
        counted = self._counted(name)
        if len(counted) < ENDS_TO_BLOCK:
            return False
        if name.kind is NameKind.ATTEMPT:
            return True
        ends = self._ends_by_name[name]
        if len(counted) < ENDS_IN_COMPANY_TO_BLOCK and self._have_company(ends):
            return False
        return any(ends[each].attempts.isdisjoint(self._blocks_by_name) for each in counted)

    def _may_be_explained(self, name: RequestName, process: str) -> bool:
        """Return whether one other attempt was under the same ends but the one being reported.

        The entry that had it on that server may not have reported yet. A content that many requests
        share is then no better explanation than an attempt that was sent again and again.
        """
        if name.kind is NameKind.ATTEMPT:
            return False
        ends = self._ends_by_name[name]
        earlier = set(self._counted(name)) - {process}
        attempts = set().union(*(end.attempts for end in ends.values()))
        return any(
            other.kind is NameKind.ATTEMPT and other not in attempts and others.keys() >= earlier
            for other, others in self._ends_by_name.items()
        )

    def _block(self, name: RequestName, now: Instant) -> RequestBlock:
        ends = self._ends_by_name.pop(name)
        last_end_at = max(end.at for end in ends.values())
        trial = 0 if self._have_company(ends) else 1
        opens_at = now + TRIAL_INTERVALS[trial]
        block = RequestBlock(name, now, last_end_at, tuple(ends), opens_at, trial)
        self._add(block)
        return block

    def _have_company(self, ends: Mapping[str, _End]) -> bool:
        """Return whether servers without a request ended beside those with it."""
        others = {
            process
            for end in ends.values()
            for process in self._ends.within(end.at - COMPANY_SECONDS, end.at + COMPANY_SECONDS)
        }
        return len(others - ends.keys()) >= COMPANY_ENDS

    def _discount(self, processes: Set[str], kept: Set[RequestName] = frozenset()) -> None:
        """Remove ends that a blocked request explains from the evidence against other requests."""
        for name in list(self._ends_by_name) if processes else ():
            if name not in kept:
                self._remove_ends(name, processes)

    def _remove_ends(self, name: RequestName, processes: Set[str]) -> None:
        ends = self._ends_by_name[name]
        for process in processes & ends.keys():
            del ends[process]
        if not ends:
            del self._ends_by_name[name]

    def _add(self, block: RequestBlock) -> None:
        self._blocks_by_name[block.name] = block
        if len(self._blocks_by_name) > MAX_BLOCKS:
            self._blocks_by_name.popitem(last=False)

    def _clear(self, name: RequestName, at: Instant) -> bool:
        block = self._blocks_by_name.get(name)
        ends = self._ends_by_name.get(name, {})
        if block is None and not ends:
            return False
        self._answered_at_by_name[name] = max(at, self._answered_at_by_name.get(name, -inf))
        self._answered_at_by_name.move_to_end(name)
        if len(self._answered_at_by_name) > MAX_NAMES:
            self._answered_at_by_name.popitem(last=False)
        refuted = {process for process, end in ends.items() if end.at <= at}
        if refuted:
            self._remove_ends(name, refuted)
        if block is None or block.last_end_at > at:
            return bool(refuted)
        del self._blocks_by_name[name]
        return True
