"""Relay of answers and request bodies within the entry's memory bounds.

A backend server is read as fast as it sends. What a slow caller has not taken yet is held here, so
that the caller occupies no slot of an engine. Beyond the bounds the entry stops reading.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.memory_guard import HeldBytes

from .decision_log import warned
from .ports import CallerLostError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.direct.memory_guard import MemoryBounds

    from .ports import CallerAnswer

    StartTask = Callable[[Callable[[], Awaitable[None]]], object]

WRITE_BYTES = 65536
"""Held bytes that are given to a connection at once."""

LOG_INTERVAL = 1.0
"""Least seconds between two log lines about a bound that was reached."""


class CallerMemory:
    """The bytes that this entry holds for its callers, and those that wait for room."""

    def __init__(self, bounds: MemoryBounds, clock: Clock) -> None:
        self.held = HeldBytes(bounds)
        self.slow_answers = 0
        """Answers of which a part is held now."""
        self.backpressure_by_cause = {"answer": 0, "total": 0, "body": 0}
        """How often reading stopped, by the bound that was reached."""
        self._clock = clock
        self._log_after = 0.0
        self._unlogged = 0
        self._waiting_answers: set[trio.Event] = set()
        self._waiting_bodies: set[trio.Event] = set()
        self._overdrawing: HeldAccount | None = None

    def hold(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.held.add(size)

    def release(self, size: int) -> None:
        """Count bytes that are no longer held, and wake those that wait for room."""
        self.held.remove(size)
        if self.held.has_room_for_bodies:
            _set_all(self._waiting_bodies)
        if self.held.has_room_for_answers:
            _set_all(self._waiting_answers)

    @property
    def has_room(self) -> bool:
        """Whether more may be received from callers."""
        return self.held.may_receive

    async def wait_for_answer_room(self, wake: trio.Event) -> None:
        """Wait until there is room in the total for answers, or until `wake` is set otherwise."""
        await _wait_in(self._waiting_answers, wake)

    async def wait_for_body_room(self) -> None:
        """Wait until there is room for request bodies, or the overdraft is free."""
        await _wait_in(self._waiting_bodies, trio.Event())

    def may_receive(self, body: HeldAccount) -> bool:
        """Return whether more of a body may be read.

        Beyond the total one body at a time may be. Otherwise bodies of which a part has arrived
        could fill the total, and none of them would ever be complete.
        """
        if self.held.may_receive or self._overdrawing is body:
            return True
        if self._overdrawing is not None:
            return False
        self._overdrawing = body
        return True

    def end_overdraft(self, body: HeldAccount) -> None:
        """Let another body be read beyond the total, after the request of this one has ended."""
        if self._overdrawing is body:
            self._overdrawing = None
            _set_all(self._waiting_bodies)

    def account(self) -> HeldAccount:
        """Return an account for the body of a request, or for an answer that is not begun."""
        return HeldAccount(self)

    def bound_reached(self, cause: str, own: int) -> None:
        """Count and log that reading stops.

        Args:
            cause: The bound: that of one `answer`, the `total`, or the total for a `body`.
            own: Bytes held for the answer or body itself.
        """
        self.backpressure_by_cause[cause] += 1
        now = self._clock.monotonic()
        if now < self._log_after:
            self._unlogged += 1
            return
        self._log_after = now + LOG_INTERVAL
        unlogged, self._unlogged = self._unlogged, 0
        bounds = self.held.bounds
        warned(
            "memory_bound_reached",
            cause=cause,
            own_bytes=own,
            answer_bound=bounds.answer_bytes,
            held_bytes=self.held.total,
            total_bound=bounds.total_bytes,
            slow_answers=self.slow_answers,
            not_logged=unlogged,
        )


async def _wait_in(waiting: set[trio.Event], wake: trio.Event) -> None:
    waiting.add(wake)
    try:
        await wake.wait()
    finally:
        waiting.discard(wake)


def _set_all(waiting: set[trio.Event]) -> None:
    for each in waiting:
        each.set()


class HeldAccount:
    """The bytes held for a connection's requests, and parts of an answer that is not begun yet."""

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory
        self.size = 0

    def hold(self, size: int) -> None:
        """Count bytes that have been received."""
        self._memory.hold(size)
        self.size += size

    def may_receive(self) -> bool:
        """Return whether more may be received now, be it beyond the total as the only one."""
        always = self._memory.held.bounds.always_received_bytes
        return self.size <= always or self._memory.may_receive(self)

    async def wait_for_room(self) -> None:
        """Wait before more of a request is received if the total is beyond its bound."""
        if self.may_receive():
            return
        self._memory.bound_reached("body", self.size)
        while not self.may_receive():
            await self._memory.wait_for_body_room()

    def try_hold(self, size: int) -> bool:
        """Count a part of an answer and return True, unless a bound would be exceeded."""
        if not self._memory.held.may_hold(size, self.size):
            return False
        self._memory.hold(size)
        self.size += size
        return True

    def resize(self, size: int) -> None:
        """Release all but some bytes, which belong to the next request."""
        released, self.size = self.size - size, size
        if released:
            self._memory.release(released)
        self._memory.end_overdraft(self)

    def release(self) -> None:
        """Release everything."""
        self.resize(0)


class UnsharedAccount:
    """The held parts of one answer at an entry without bounds for all of its callers."""

    def __init__(self, bound: int) -> None:
        self._left = bound

    def try_hold(self, size: int) -> bool:
        """Count a part of an answer and return True, unless the bound would be exceeded."""
        if size > self._left:
            return False
        self._left -= size
        return True

    def release(self) -> None:
        """Release everything: an answer that has begun is not held again."""


class RelayBuffer:
    """Delivers the body of one answer to its caller without delaying the reader.

    The parts are delivered whole and in order. While the caller's connection takes them at once,
    nothing is held and no task runs.
    """

    def __init__(
        self,
        answer: CallerAnswer,
        memory: CallerMemory,
        start_task: StartTask,
        on_lost: Callable[[], None],
    ) -> None:
        """Create a buffer.

        Args:
            answer: The answer to the caller; its head has to be begun before the first write.
            memory: The bytes held by the entry.
            start_task: Starts a task that outlives the current call.
            on_lost: Called when the caller's connection is lost while no write is in progress.
        """
        self._answer = answer
        self._memory = memory
        self._start_task = start_task
        self._on_lost = on_lost
        self._parts: deque[bytes] = deque()
        self._end_due = False
        self._scope: trio.CancelScope | None = None
        """Of the task that writes held parts; None while there is none."""
        self._sending = 0
        """Held bytes that the connection has partly taken."""
        self._wake = trio.Event()
        """Set when the reader of the answer, which waits for room or for the end, may proceed."""
        self._closed = False
        self.held = 0
        """Bytes that the caller's connection has not taken yet."""
        self.error: Exception | None = None
        """Why the delivery has failed; None while it has not."""

    async def write(self, data: bytes) -> None:
        """Deliver a part of the body or hold it; wait while that would exceed a bound.

        Raises:
            CallerLostError: The caller's connection is lost.
        """
        await self._wait_for_room(len(data))
        if self._scope is None:
            if not self._answer.send_now(data):
                self._hold(len(data))
                self._start_writing(len(data))
            return
        self._hold(len(data))
        self._parts.append(data)

    def end(self) -> None:
        """Deliver the end of the body after all parts, without waiting for it.

        Raises:
            CallerLostError: The caller's connection is lost.
        """
        self._raise_if_lost()
        if self._scope is not None:
            self._end_due = True
        elif not self._answer.send_now(b"", last=True):
            self._start_writing(0)

    async def flush(self) -> None:
        """Wait until the caller's connection has taken everything.

        Raises:
            CallerLostError: The caller's connection is lost.
        """
        while self._scope is not None:
            self._wake = trio.Event()
            await self._wake.wait()
        self._raise_if_lost()

    def close(self) -> None:
        """Stop the delivery and release what is held."""
        self._closed = True
        if self._scope is not None:
            self._scope.cancel()
        self._parts.clear()
        self._release(self.held)

    async def _wait_for_room(self, size: int) -> None:
        self._raise_if_lost()
        held = self._memory.held
        if held.may_hold(size, self.held):
            return
        is_own = self.held + size > held.bounds.answer_bytes
        self._memory.bound_reached("answer" if is_own else "total", self.held)
        while not held.may_hold(size, self.held):
            self._wake = trio.Event()
            await self._memory.wait_for_answer_room(self._wake)
            self._raise_if_lost()

    def _raise_if_lost(self) -> None:
        if self.error is not None:
            raise self.error

    def _hold(self, size: int) -> None:
        if not self.held and size:
            self._memory.slow_answers += 1
        self.held += size
        self._memory.hold(size)

    def _release(self, size: int) -> None:
        if not size:
            return
        self.held -= size
        if not self.held:
            self._memory.slow_answers -= 1
        self._memory.release(size)

    def _start_writing(self, sending: int) -> None:
        self._sending = sending
        self._scope = trio.CancelScope()
        self._start_task(self._write_held)

    async def _write_held(self) -> None:
        assert self._scope is not None, "the delivery has not been started"
        try:
            with self._scope:
                await self._write_all()
        except trio.ClosedResourceError as error:
            # The connection has been closed by its own task, which also ends the request.
            self.error = CallerLostError(str(error))
        except Exception as error:  # noqa: BLE001 - raised in the request's own task
            self.error = error
            if not self._closed:
                self._on_lost()
        finally:
            self._scope = None
            self._wake.set()

    async def _write_all(self) -> None:
        """Send the rest of the part that was begun, then all held parts and the end."""
        while True:
            await self._answer.drain()
            if self._closed:
                return
            sent, self._sending = self._sending, 0
            self._release(sent)
            self._wake.set()
            if self._parts:
                data = self._take_parts()
                self._sending = len(data)
                self._answer.send_now(data)
            elif self._end_due:
                self._end_due = False
                self._answer.send_now(b"", last=True)
            else:
                return

    def _take_parts(self) -> bytes:
        taken = [self._parts.popleft()]
        size = len(taken[0])
        while self._parts and size + len(self._parts[0]) <= WRITE_BYTES:
            taken.append(self._parts.popleft())
            size += len(taken[-1])
        return b"".join(taken)
