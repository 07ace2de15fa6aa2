"""Tests of the choice of the connection that is closed for a new one."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, precondition, rule

from ragwortwing_policy.connection_table import Activity, ConnectionBounds, ConnectionTable

BOUND = 4


class ConnectionTableMachine(RuleBasedStateMachine):
    """Any order of opening, waiting, serving and closing keeps the bound and closes no busy one."""

    connections = Bundle("connections")

    def __init__(self) -> None:
        super().__init__()
        self.table = ConnectionTable[int](BOUND)
        self.activity_by_open: dict[int, Activity] = {}
        self.opened = 0

    @precondition(lambda self: not self.table.is_full or self.table.victim is not None)
    @rule(target=connections)
    def open(self) -> int:
        self.opened += 1
        was_full = self.table.is_full
        closed = self.table.open(self.opened)
        assert (closed is not None) == was_full
        if closed is not None:
            activity = self.activity_by_open.pop(closed)
            assert activity is not Activity.BUSY
            assert activity <= min(self.activity_by_open.values())
        self.activity_by_open[self.opened] = Activity.BUSY
        return self.opened

    @rule(key=connections, activity=st.sampled_from(Activity))
    def set_activity(self, key: int, activity: Activity) -> None:
        self.table.set_activity(key, activity)
        if key in self.activity_by_open:
            self.activity_by_open[key] = activity

    @rule(key=connections)
    def close(self, key: int) -> None:
        self.table.close(key)
        self.activity_by_open.pop(key, None)

    @invariant()
    def bound_holds(self) -> None:
        assert len(self.table) == len(self.activity_by_open) <= BOUND
        assert self.table.highest <= BOUND

    @invariant()
    def new_connection_is_refused_only_while_all_are_busy(self) -> None:
        all_busy = all(each is Activity.BUSY for each in self.activity_by_open.values())
        assert (self.table.victim is None) == all_busy


ConnectionTableMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200
)
test_connection_table = ConnectionTableMachine.TestCase


def test_bounds_leave_sockets_for_servers_and_files() -> None:
    for memory_mb in (64, 150, 552, 4096):
        for descriptors in (300, 400, 1000, 4100, 8192, 65536):
            bounds = ConnectionBounds.of_process(memory_mb << 20, descriptors)
            sockets = 2 * bounds.callers + 2 * bounds.status
            assert sockets <= descriptors - 200, (memory_mb, descriptors, bounds)
