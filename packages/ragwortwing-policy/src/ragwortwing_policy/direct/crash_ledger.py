"""Finds the parts of prompts on which engines crash, and blocks the requests that contain them.

An engine that crashes on a part ends as it begins the answer, and every request on it ends too. A
single crash therefore makes each part of each request that had not begun a suspect. A part is
cleared by any run that goes on after its first event, and blocked if crashes repeat without one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import zip_longest
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from ragwortwing_policy.clock import Instant

from .block_trials import TRIAL_INTERVALS, TrialBlock
from .process_ends import ProcessEnds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence, Set

SURVIVAL_SECONDS = 0.25
"""Seconds after its first event from which a run is no suspect of a crash: it would have crashed
the engine when it began."""

CRASH_SPACING = 0.25
"""Seconds within which several crashes count as one. Servers that end together more likely have a
cause in common that is no request."""

SPACED_CRASHES_TO_BLOCK = 3
"""Crashes at different times, without a surviving run between, after which a part is blocked."""

CRASHES_TO_BLOCK = 5
"""Crashes after which it is blocked even if they came together."""

SPACED_CRASHES_TO_BLOCK_KNOWN = 5
"""The same two limits for a part on which runs have survived recently."""

CRASHES_TO_BLOCK_KNOWN = 10

KNOWN_SECONDS = 60.0
"""Seconds for which a surviving run makes its parts known as sound."""

EVIDENCE_SECONDS = 600.0
"""Seconds after which a crash no longer counts."""

BLOCK_SECONDS = 86_400.0
"""Seconds after the last crash for which a block is kept."""

MAX_PARTS = 4_096
"""Maximum parts that are remembered as sound, and as suspects; the oldest are dropped. A record
takes 0.3 KB."""

MAX_BLOCKS = 256
"""Maximum blocked parts."""

COMPANION_CRASHES = 2
"""Minimum crashes before the latest one that two parts must share to be blocked together."""

JOINT_TRIAL_DELAY = 0.5
"""Seconds for which a request that holds several blocked parts waits for one that holds a single
one, whose crash would show which part caused it."""

MAX_PROCESSES = 16
"""Maximum crashes that are named with a block."""


class Software(NamedTuple):
    """The program that engines run: a part may crash one version only."""

    service: str
    version: str


PartKey = tuple[Software, str]
"""A part of a prompt on engines with one software."""


@dataclass(slots=True)
class Block(TrialBlock):
    """A part that is kept from engines."""

    software: Software
    part: str
    since: Instant
    last_crash_at: Instant
    processes: tuple[str, ...]
    """The server processes whose crashes led to the block."""
    opens_at: Instant
    """When the next trial may be sent; inf if none may."""
    trial: int = 1
    """Index of that trial's interval."""
    requests: int = 0
    """Requests with the part that were on the crashed servers."""


@dataclass(slots=True)
class _Crash:
    at: Instant
    requests: set[str] = field(default_factory=set)
    """What tells the suspect prompts' requests apart."""


class CrashLedger:
    """Evidence about the parts of prompts, from crashes and surviving runs of all entries.

    Example:
        >>> ledger = CrashLedger()
        >>> v1 = Software("engines", "v1")
        >>> for number in range(3):
        ...     prompt = ("shared", "crashing", f"own-{number}")
        ...     at = float(number)
        ...     _ = ledger.record_crash(f"i-{number}", v1, [prompt], at, now=at)
        ...     _ = ledger.record_survival(v1, ("shared", "other"), at + 0.1)
        >>> [each.part for each in ledger.blocks]
        ['crashing']
        >>> ledger.blocked_until(v1, ("shared", "other"), now=3.0) is None
        True
        >>> ledger.blocked_until(v1, ("crashing", "own-9"), now=3.0)
        62.0
    """

    def __init__(self) -> None:
        self._sound_at_by_key: OrderedDict[PartKey, Instant] = OrderedDict()
        """First event of the latest surviving run."""
        self._crashes_by_key: OrderedDict[PartKey, dict[str, _Crash]] = OrderedDict()
        """Crashes since that event, by server process."""
        self._blocks_by_key: OrderedDict[PartKey, Block] = OrderedDict()
        self._ends = ProcessEnds()

    @property
    def blocks(self) -> tuple[Block, ...]:
        """The blocked parts, the oldest first."""
        return tuple(self._blocks_by_key.values())

    def record_crash(
        self,
        process: str,
        software: Software,
        prompts: Iterable[Sequence[str]],
        at: Instant,
        now: Instant,
        requests: Iterable[str] = (),
    ) -> tuple[Block, ...]:
        """Record the crash of a server process and return the parts that are blocked from now on.

        Several entries report the same crash, each with the requests that it had on the server.

        Args:
            process: Identifies the process among all processes of all servers.
            software: Its software.
            prompts: Ids of the parts of each prompt that may have caused the crash.
            at: When the process crashed.
            now: The current instant.
            requests: What each prompt's request shares with its repeats and no other request;
                by default the prompt's last part, which differs between most requests.
        """
        process, at = self._ends.identify(process, at)
        suspects = [tuple(each) for each in prompts]
        named = {(software, part) for prompt in suspects for part in prompt}
        explaining = [self._blocks_by_key[key] for key in named if key in self._blocks_by_key]
        for block in explaining:
            block.last_crash_at = max(block.last_crash_at, at)
            if process not in block.processes:
                block.processes = (*block.processes[-MAX_PROCESSES:], process)
        if explaining or any(process in block.processes for block in self.blocks):
            self._discount({process})
            return ()
        for prompt, request in zip_longest(suspects, tuple(requests)[: len(suspects)]):
            for part in prompt:
                self._suspect((software, part), process, at, request or prompt[-1])
        found = {
            key for key in named if self._is_conclusive(key, self._crashes_by_key.get(key, {}), now)
        }
        return self._block(sorted(found | self._companions(found, process, now)), now)

    def record_survival(
        self, software: Software, parts: Iterable[str], began_at: Instant
    ) -> tuple[str, ...]:
        """Record a run that has gone on after its first event.

        Args:
            software: The software of its engine.
            parts: Ids of the parts of its prompt.
            began_at: When its first event arrived.

        Returns:
            The parts against which there was evidence, which other entries have as well.
        """
        return tuple(part for part in parts if self._clear((software, part), began_at))

    def blocked_until(
        self, software: Software, parts: Iterable[str], now: Instant
    ) -> Instant | None:
        """Return when a request may be sent to engines with a software; None if it may now."""
        if not self._blocks_by_key:
            return None
        found = [
            block
            for part in parts
            if (block := self._blocks_by_key.get((software, part)))
            or (block := self._untested(software, part, now))
        ]
        if not found:
            return None
        opens_at = max(each.opens_at for each in found)
        if len(found) > 1:
            opens_at += JOINT_TRIAL_DELAY
        return opens_at if opens_at > now else None

    def begin_trial(
        self, software: Software, parts: Iterable[str], now: Instant
    ) -> tuple[Block, ...]:
        """Return the blocked parts that a request to an engine tests."""
        tested = []
        for part in parts if self._blocks_by_key else ():
            block = self._blocks_by_key.get((software, part))
            if block is None:
                block = self._untested(software, part, now)
                if block is None:
                    continue
                self._blocks_by_key[software, part] = block
            block.begin_trial(now)
            tested.append(block)
        return tuple(tested)

    def fail_trial(self, tested: Iterable[Block], now: Instant) -> None:
        """Record that an engine may have crashed under a request that tested blocked parts.

        Of several parts the rarest one is the most likely cause, and costs the least if it is not.
        The others may be tried again with a request that does not hold it.
        """
        rarest, *others = sorted(tested, key=lambda each: (each.requests, each.part))
        rarest.fail_trial(now)
        for block in others:
            block.repeat_trial(now)

    def merge(self, block: Block) -> bool:
        """Apply a block that another entry reports; return whether it was unknown."""
        key = (block.software, block.part)
        if self._sound_at_by_key.get(key, -inf) >= block.last_crash_at:
            return False
        known = self._blocks_by_key.get(key)
        if known is None:
            self._add(block)
            return True
        known.since = min(known.since, block.since)
        known.last_crash_at = max(known.last_crash_at, block.last_crash_at)
        known.requests = max(known.requests, block.requests)
        known.merge_trial(block)
        return False

    def release(self, part: str, now: Instant) -> bool:
        """Unblock a part at an operator's request; return whether it was blocked."""
        keys = [key for key in self._blocks_by_key if key[1] == part]
        for key in keys:
            self._clear(key, now)
        return bool(keys)

    def expire(self, now: Instant) -> tuple[Block, ...]:
        """Remove evidence and blocks that are too old; return the blocks."""
        for key, crashes in list(self._crashes_by_key.items()):
            for process, crash in list(crashes.items()):
                if now - crash.at > EVIDENCE_SECONDS:
                    del crashes[process]
            if not crashes:
                del self._crashes_by_key[key]
        old = tuple(each for each in self.blocks if now - each.last_crash_at > BLOCK_SECONDS)
        for block in old:
            del self._blocks_by_key[block.software, block.part]
        return old

    @property
    def crashes_by_suspect(self) -> Mapping[PartKey, int]:
        """Crashes that count against each part that is not blocked."""
        return {key: len(crashes) for key, crashes in self._crashes_by_key.items()}

    def _suspect(self, key: PartKey, process: str, at: Instant, request: str) -> None:
        if self._sound_at_by_key.get(key, -inf) >= at:
            return
        crashes = self._crashes_by_key.setdefault(key, {})
        self._crashes_by_key.move_to_end(key)
        crashes.setdefault(process, _Crash(at)).requests.add(request)
        if len(self._crashes_by_key) > MAX_PARTS:
            self._crashes_by_key.popitem(last=False)

    def _is_known(self, key: PartKey, now: Instant) -> bool:
        return now - self._sound_at_by_key.get(key, -inf) < KNOWN_SECONDS

    def _companions(self, found: Set[PartKey], process: str, now: Instant) -> set[PartKey]:
        """Return the parts whose evidence is equal except for the crash that is being reported.

        Another entry may have had requests with them on the same server.
        """
        companions: set[PartKey] = set()
        for conclusive in found:
            crashes = self._crashes_by_key[conclusive]
            earlier = crashes.keys() - {process}
            if process not in crashes or len(earlier) < COMPANION_CRASHES:
                continue
            reported = {process: _Crash(crashes[process].at)}
            companions.update(
                key
                for key, others in self._crashes_by_key.items()
                if key[0] == conclusive[0]
                and others.keys() >= earlier
                and self._is_conclusive(key, reported | others, now)
            )
        return companions - found

    def _is_conclusive(self, key: PartKey, crashes: Mapping[str, _Crash], now: Instant) -> bool:
        """Return whether enough crashes with nothing but the part in common are known.

        Those under one request and its repeats may have any of its properties in common; they are
        judged by `RequestLedger`.
        """
        if self._is_known(key, now):
            most, most_spaced = CRASHES_TO_BLOCK_KNOWN, SPACED_CRASHES_TO_BLOCK_KNOWN
        else:
            most, most_spaced = CRASHES_TO_BLOCK, SPACED_CRASHES_TO_BLOCK
        if len(crashes) < most and _spaced(each.at for each in crashes.values()) < most_spaced:
            return False
        requests = set().union(*(crash.requests for crash in crashes.values()))
        return len(requests) > 1 or requests == {key[1]}

    def _block(self, keys: Sequence[PartKey], now: Instant) -> tuple[Block, ...]:
        blocks = []
        for key in keys:
            first_trial = 1 if len(keys) == 1 and not self._is_known(key, now) else 0
            crashes = self._crashes_by_key.pop(key)
            last_crash_at = max(each.at for each in crashes.values())
            requests = len(set().union(*(each.requests for each in crashes.values())))
            opens_at = now + TRIAL_INTERVALS[first_trial]
            block = Block(*key, now, last_crash_at, tuple(crashes), opens_at, first_trial, requests)
            self._add(block)
            blocks.append(block)
        if blocks:
            self._discount({process for block in blocks for process in block.processes})
        return tuple(blocks)

    def _discount(self, processes: Set[str]) -> None:
        """Remove crashes that a blocked part explains from the evidence against other parts."""
        for key, crashes in list(self._crashes_by_key.items()):
            for process in processes & crashes.keys():
                del crashes[process]
            if not crashes:
                del self._crashes_by_key[key]

    def _add(self, block: Block) -> None:
        self._blocks_by_key[block.software, block.part] = block
        if len(self._blocks_by_key) > MAX_BLOCKS:
            self._blocks_by_key.popitem(last=False)

    def _untested(self, software: Software, part: str, now: Instant) -> Block | None:
        """Return a block with a trial now for a part that is blocked for other software only."""
        if (software, part) in self._sound_at_by_key:
            return None
        elsewhere = [each for each in self.blocks if each.part == part]
        if not elsewhere:
            return None
        last_crash_at = max(each.last_crash_at for each in elsewhere)
        requests = max(each.requests for each in elsewhere)
        return Block(software, part, now, last_crash_at, (), last_crash_at, requests=requests)

    def _clear(self, key: PartKey, began_at: Instant) -> bool:
        if began_at > self._sound_at_by_key.get(key, -inf):
            self._sound_at_by_key[key] = began_at
            self._sound_at_by_key.move_to_end(key)
            if len(self._sound_at_by_key) > MAX_PARTS:
                self._sound_at_by_key.popitem(last=False)
        crashes = self._crashes_by_key.get(key, {})
        refuted = [process for process, crash in crashes.items() if crash.at <= began_at]
        for process in refuted:
            del crashes[process]
        if refuted and not crashes:
            del self._crashes_by_key[key]
        block = self._blocks_by_key.get(key)
        if block is None or block.last_crash_at > began_at:
            return bool(refuted)
        del self._blocks_by_key[key]
        return True


def _spaced(instants: Iterable[Instant]) -> int:
    """Return the number of instants, of which those too close to an earlier one do not count."""
    count, last = 0, -inf
    for at in sorted(instants):
        if at - last >= CRASH_SPACING:
            count, last = count + 1, at
    return count
