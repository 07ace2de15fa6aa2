"""Notices server processes that end under requests, and keeps prompts that cause it from engines.

All entries tell each other which processes ended and under which prompts, so that each of them
draws the same conclusions. Statuses list the blocked parts, from which a new entry learns them.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import TYPE_CHECKING, NamedTuple

import trio

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.crash_ledger import (
    SURVIVAL_SECONDS,
    CrashLedger,
    Software,
)
from ragwortwing_policy.direct.process_ends import SAME_END_SECONDS
from ragwortwing_policy.direct.request_ledger import LostRequest
from ragwortwing_runtime.http_client import ConnectionLoss

from .decision_log import decided, warned
from .peer_messages import (
    CrashMessage,
    SurvivalMessage,
    block_body,
    block_of,
    lost_request_body,
    lost_requests_of,
)
from .ports import BackendLostError
from .report_pacing import ReportPacing
from .request_watch import RequestWatch

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from ragwortwing_policy.direct.crash_ledger import Block
    from ragwortwing_policy.direct.prompt_parts import Prompt

    from .entry_state import EntryState
    from .peer_messages import BlockBody, StatusMessage
    from .ports import BackendCalls

CHECK_DELAYS = (0.0, 0.15)
"""Seconds before each check whether a server that closed a connection still listens. The listening
socket of a process that ends may close a little later than its connections."""

SETTLE_SECONDS = 0.05
"""Maximum seconds to wait for the result of the first check."""

RESTART_SECONDS = 10.0
"""Seconds after a lost call in which a new process at the address shows that the former one
ended."""

REFUSAL_SECONDS = 1.0
"""Seconds after a lost call in which a refused connection shows that the process ended."""

MAX_PROMPTS = 16
"""Maximum suspect prompts in a message."""

MAX_REQUESTS = 64
"""Maximum lost requests in a message; more are sent in further messages."""

MAX_PROMPT_PARTS = 32
"""Maximum parts of a prompt that are considered, the last one among them."""

MAX_PART_LENGTH = 64
"""Maximum characters of the id of a part that is considered."""

MAX_REPORTED_BLOCKS = 32
"""Maximum blocked parts in a status, those with the latest crashes."""

REPORT_INTERVAL_PER_ENTRY = 0.3
"""Seconds that each entry adds to the interval of its lists of blocked parts: each entry receives
about three a second."""

NEW_PEER_SECONDS = 2.0
"""Uptime in seconds up to which a peer is sent the blocks in reply to its status."""


class SuspectPrompt(NamedTuple):
    """A prompt that a server may have crashed on."""

    parts: tuple[str, ...]
    request: str | None
    """What its request shares with its repeats and no other request; None if unknown."""


@dataclass(slots=True)
class _LostCalls:
    """Calls to one server process that the server closed."""

    backend: BackendServer
    at: Instant
    """When the first of them was lost."""
    prompts: list[SuspectPrompt] = field(default_factory=list)
    """The prompts whose answers had not or had only just begun."""
    requests: list[LostRequest] = field(default_factory=list)
    """The requests of all these calls."""
    has_ended: bool = False
    is_planned: bool = False
    """Whether the server was leaving or unlisted when it ended."""
    is_checked: bool = False
    """Whether the checks have not shown that the process ended."""
    first_check: trio.Event = field(default_factory=trio.Event)
    """Set once the first check has its result."""


def process_name(backend_id: str, started_at: int | None) -> str:
    """Return a name of a server process that is the same at all entries."""
    return backend_id if started_at is None else f"{backend_id}@{started_at}"


def software_of(backend: BackendServer) -> Software:
    """Return the software of a backend server.

    A process whose own record is not known yet is treated like the one in the record.
    """
    recorded = backend.recorded_version
    return Software(backend.service, backend.version if recorded is None else recorded)


class CrashWatch:
    """The crashes that one entry observes or is told of, and the parts that it keeps back."""

    def __init__(self, state: EntryState, calls: BackendCalls) -> None:
        self.ledger = CrashLedger()
        self._state = state
        self._calls = calls
        self._lost_by_process: dict[str, _LostCalls] = {}
        self._checks: list[_LostCalls] = []
        self._check_due = trio.Event()
        self._pacing = ReportPacing(REPORT_INTERVAL_PER_ENTRY)
        self.requests = RequestWatch(state)
        state.peers.blocks_to_report = self._blocks_to_report
        state.peers.on_status(self._take_status)
        state.on_listed = self._backend_listed

    async def run(self) -> None:
        """Check servers that closed connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._check_due.wait()
                self._check_due = trio.Event()
                checks, self._checks = self._checks, []
                for lost in checks:
                    nursery.start_soon(self._check, lost)
                self._expire()
                self.requests.expire()

    # Calls of this entry

    def call_failed(
        self,
        backend: BackendServer,
        request: LostRequest,
        prompt: Prompt | None,
        loss: ConnectionLoss | None,
        first_event_at: Instant | None,
    ) -> bool:
        """Record a failed call; return whether its request may have caused the end of the server.

        Args:
            backend: The server.
            request: The request.
            prompt: The prompt of the request; None without one.
            loss: How the connection was lost; None if it was not.
            first_event_at: When the first event of the call arrived; None before it.
        """
        now = self._state.clock.monotonic()
        if loss is ConnectionLoss.REFUSED:
            self._state.failure_tracker.refused(backend.id, now)
            refused = self._lost_by_process.get(_process(backend))
            if refused is not None and now - refused.at < REFUSAL_SECONDS:
                self._confirm(refused)
        if loss is not ConnectionLoss.CLOSED:
            return False
        lost = self._lost_by_process.get(_process(backend))
        is_over = lost is None or now - lost.at > SAME_END_SECONDS
        if lost is None or is_over or (lost.is_checked and not lost.has_ended):
            lost = self._lost_by_process[_process(backend)] = _LostCalls(backend, now)
            self._checks.append(lost)
            self._check_due.set()
        if request.names:
            lost.requests.append(request)
        survived = first_event_at is not None and now - first_event_at >= SURVIVAL_SECONDS
        is_suspect = prompt is not None and bool(prompt.parts) and not survived
        prompts = []
        if prompt is not None and is_suspect:
            shared = request.names[-1].value if request.names else None
            prompts.append(SuspectPrompt(_part_ids(prompt), shared))
        lost.prompts.extend(prompts)
        if lost.has_ended and not lost.is_planned:
            self._report_crash(lost, prompts, [request] if request.names else [])
        return is_suspect

    async def settle(self, backend: BackendServer) -> None:
        """Wait until the first check has shown whether a server that closed calls has ended.

        After it, all entries have been told of the end before the caller can repeat its request.
        """
        lost = self._lost_by_process.get(_process(backend))
        if lost is not None:
            with trio.move_on_after(SETTLE_SECONDS):
                await lost.first_check.wait()

    def survived(self, backend: BackendServer, prompt: Prompt, began_at: Instant) -> None:
        """Record a run that has gone on after its first event, or whose answer is complete."""
        software, name = software_of(backend), self._state.identity.name
        cleared = self._record_survival(software, _part_ids(prompt), began_at, name)
        if cleared:
            age = round(self._state.clock.monotonic() - began_at, 3)
            self._state.peers.broadcast(SurvivalMessage(name, *software, cleared, age))

    def blocked_until(self, backend: BackendServer, prompt: Prompt | None) -> Instant | None:
        """Return until when a prompt must not be sent to a server; None if it may be sent now."""
        if prompt is None or not self.ledger.blocks:
            return None
        now = self._state.clock.monotonic()
        return self.ledger.blocked_until(software_of(backend), _part_ids(prompt), now)

    def blocked_until_by_id(
        self, backends: Iterable[BackendServer], prompt: Prompt | None
    ) -> dict[str, Instant]:
        """Return the servers to which a prompt must not be sent, and until when."""
        if prompt is None or not self.ledger.blocks:
            return {}
        found = {each.id: self.blocked_until(each, prompt) for each in backends}
        return {key: until for key, until in found.items() if until is not None}

    @contextmanager
    def sending(
        self, backend: BackendServer, prompt: Prompt | None, request_id: str
    ) -> Iterator[None]:
        """Treat a request that is sent to a server as the trial of a part that is blocked."""
        tested = self._begin_trial(backend, prompt, request_id)
        try:
            yield
        except BackendLostError as error:
            if tested and error.loss is ConnectionLoss.CLOSED:
                self.ledger.fail_trial(tested, self._state.clock.monotonic())
                self._report_blocks()
            raise

    def _begin_trial(
        self, backend: BackendServer, prompt: Prompt | None, request_id: str
    ) -> tuple[Block, ...]:
        if prompt is None or not self.ledger.blocks:
            return ()
        now = self._state.clock.monotonic()
        tested = self.ledger.begin_trial(software_of(backend), _part_ids(prompt), now)
        if tested:
            parts = [each.part for each in tested]
            decided("blocked_parts_tried", request_id, parts=parts, backend=backend.id)
            self._report_blocks()
        return tested

    def release(self, part: str, operator: str) -> None:
        """Unblock a part, or a request by its name, at all entries, at an operator's request."""
        softwares = [each.software for each in self.ledger.blocks if each.part == part]
        was_blocked = self.ledger.release(part, self._state.clock.monotonic())
        for software in softwares:
            message = SurvivalMessage(self._state.identity.name, *software, (part,), 0.0)
            self._state.peers.broadcast(message)
        decided("prompt_part_released", part=part, operator=operator, was_blocked=was_blocked)
        self.requests.release(part, operator)

    # Reports of other entries

    def take_crash(self, message: CrashMessage) -> None:
        """Handle the report of a crash."""
        now = self._state.clock.monotonic()
        process = process_name(message.backend_id, message.started_at)
        self._leave_out(self._state.backends.by_id.get(message.backend_id), process)
        software = Software(message.service, message.version)
        requests = lost_requests_of(message.requests, now)
        prompts = [
            SuspectPrompt(*each) for each in zip_longest(message.prompts, message.prompt_requests)
        ]
        self._record_crash(process, software, prompts, requests, now - message.age, message.sender)

    def take_survival(self, message: SurvivalMessage) -> None:
        """Handle the report of a run that an engine has survived."""
        software = Software(message.service, message.version)
        began_at = self._state.clock.monotonic() - message.age
        self._record_survival(software, message.parts, began_at, message.sender)

    def _record_survival(
        self, software: Software, parts: Sequence[str], began_at: Instant, reported_by: str
    ) -> tuple[str, ...]:
        blocked = {each.part for each in self.ledger.blocks if each.software == software}
        cleared = self.ledger.record_survival(software, parts, began_at)
        for part in blocked.intersection(cleared):
            decided(
                "prompt_part_sound",
                part=part,
                service=software.service,
                version=software.version,
                reported_by=reported_by,
            )
        return cleared

    def _take_status(self, status: StatusMessage) -> None:
        now = self._state.clock.monotonic()
        for body in status.blocks:
            block = block_of(body, now)
            if self.ledger.merge(block):
                self._log_blocked(block, reported_by=status.sender)
        self.requests.take_status(status)
        is_new = status.uptime is None or status.uptime < NEW_PEER_SECONDS
        is_informed = status.blocks or status.request_blocks
        if is_new and not is_informed and (self.ledger.blocks or self.requests.ledger.blocks):
            self._state.peers.send_status(
                status.sender, self._reported_blocks(now), self.requests.reported_blocks()
            )

    def _blocks_to_report(self, now: Instant) -> tuple[BlockBody, ...]:
        """Return the blocks that the next status lists; none if others list them meanwhile."""
        entries = 1 + len(self._state.peers.members)
        return self._reported_blocks(now) if self._pacing.is_due(now, entries) else ()

    def _reported_blocks(self, now: Instant) -> tuple[BlockBody, ...]:
        latest = sorted(self.ledger.blocks, key=lambda each: each.last_crash_at, reverse=True)
        return tuple(block_body(each, now) for each in latest[:MAX_REPORTED_BLOCKS])

    def _report_blocks(self) -> None:
        self._pacing.report_again()
        self._state.statuses.report_again()
        self._state.peers.wake()

    # Ends of processes

    async def _check(self, lost: _LostCalls) -> None:
        for delay in CHECK_DELAYS:
            await trio.sleep(delay)
            if lost.has_ended or await self._calls.is_listening(lost.backend) is False:
                self._confirm(lost)
                return
            lost.first_check.set()
        lost.is_checked = True
        decided("backend_connection_closed", backend=lost.backend.id, prompts=len(lost.prompts))

    def _backend_listed(self, backend: BackendServer) -> None:
        """Conclude from a new process at an address that the former one has ended."""
        now = self._state.clock.monotonic()
        for lost in list(self._lost_by_process.values()):
            same_address = lost.backend.address == backend.address
            is_recent = now - lost.at < RESTART_SECONDS
            if same_address and is_recent and _process(lost.backend) != _process(backend):
                self._confirm(lost)

    def _confirm(self, lost: _LostCalls) -> None:
        """Record that the process to which calls were lost has ended."""
        if lost.has_ended:
            return
        lost.has_ended = True
        lost.first_check.set()
        backend = lost.backend
        listed = self._state.backends.by_id.get(backend.id)
        lost.is_planned = listed is None or listed.leaving
        self._leave_out(listed, _process(backend))
        decided(
            "backend_ended",
            backend=backend.id,
            version=backend.version,
            planned=lost.is_planned,
            prompts=[each.parts for each in lost.prompts[:MAX_PROMPTS]],
            requests=[each.names[0].value for each in lost.requests[:MAX_REQUESTS]],
        )
        if not lost.is_planned:
            self._report_crash(lost, lost.prompts, lost.requests)

    def _leave_out(self, listed: BackendServer | None, process: str) -> None:
        """Send nothing to a listed server if the process that has ended is its current one."""
        if listed is not None and _process(listed) == process:
            self._state.failure_tracker.ended(listed, self._state.clock.monotonic())

    def _report_crash(
        self,
        lost: _LostCalls,
        prompts: Sequence[SuspectPrompt],
        requests: Sequence[LostRequest],
    ) -> None:
        now, backend = self._state.clock.monotonic(), lost.backend
        name = self._state.identity.name
        bodies = [lost_request_body(each, now) for each in requests]
        for first in range(0, max(1, len(bodies)), MAX_REQUESTS):
            named = prompts[:MAX_PROMPTS] if not first else ()
            message = CrashMessage(
                name,
                *software_of(backend),
                backend.id,
                backend.started_at,
                round(now - lost.at, 4),
                tuple(each.parts for each in named),
                tuple(bodies[first : first + MAX_REQUESTS]),
                tuple(each.request or "" for each in named),
            )
            self._state.peers.broadcast(message)
        self._record_crash(
            _process(backend), software_of(backend), prompts, requests, lost.at, name
        )

    def _record_crash(
        self,
        process: str,
        software: Software,
        prompts: Sequence[SuspectPrompt],
        requests: Sequence[LostRequest],
        at: Instant,
        reported_by: str,
    ) -> None:
        self.requests.record_end(process, requests, at, reported_by)
        suspects = [each for each in prompts if each.parts]
        now = self._state.clock.monotonic()
        blocks = self.ledger.record_crash(
            process,
            software,
            [each.parts for each in suspects],
            at,
            now,
            [each.request or "" for each in suspects],
        )
        for block in blocks:
            self._log_blocked(block, reported_by)
        if blocks and reported_by == self._state.identity.name:
            # The other entries conclude the same; one list tells those that missed a report.
            self._report_blocks()

    def _log_blocked(self, block: Block, reported_by: str) -> None:
        now = self._state.clock.monotonic()
        warned(
            "prompt_part_blocked",
            part=block.part,
            service=block.software.service,
            version=block.software.version,
            crashes=block.processes,
            last_crash_ms=round(1000 * (now - block.last_crash_at)),
            next_trial_s=block.opens_in(now),
            reported_by=reported_by,
        )

    def _expire(self) -> None:
        now = self._state.clock.monotonic()
        for process, lost in list(self._lost_by_process.items()):
            if now - lost.at > RESTART_SECONDS:
                del self._lost_by_process[process]
        for block in self.ledger.expire(now):
            decided("prompt_part_expired", part=block.part)


def _process(backend: BackendServer) -> str:
    return process_name(backend.id, backend.started_at)


def _part_ids(prompt: Prompt) -> tuple[str, ...]:
    ids = tuple(each.id for each in prompt.parts if len(each.id) <= MAX_PART_LENGTH)
    return ids if len(ids) <= MAX_PROMPT_PARTS else (*ids[: MAX_PROMPT_PARTS - 1], ids[-1])
