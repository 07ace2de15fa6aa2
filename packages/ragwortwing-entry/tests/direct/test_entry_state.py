"""Tests of what an entry keeps of its backend servers when their registrations change."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from ragwortwing_entry.direct.crash_watch import software_of
from ragwortwing_entry.direct.entry_state import EntryIdentity, EntryState
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.repeat_budget import RepeatAllowance
from ragwortwing_runtime.system_clock import SystemClock

SERVER = BackendServer("i-1", "desk", "127.0.0.1:1", "suva", 6, started_at=1000)


@pytest.fixture
def state() -> EntryState:
    allowance = RepeatAllowance(0.2, 10, timedelta(seconds=10))
    found = EntryState(EntryIdentity("entry", "suva"), allowance, SystemClock())
    found.backend_listed(SERVER)
    found.limit_observed(SERVER, 2.0, sent_at=0.0)
    found.backoff_requested(SERVER, 60.0)
    found.leaving_announced(SERVER)
    return found


def is_kept(state: EntryState) -> tuple[bool, bool, bool]:
    """Return whether the limit, the backoff and the leaving that were stated are in force."""
    now = state.clock.monotonic()
    return (
        state.limits.rate("i-1") == 2.0,
        bool(state.backoffs.until_by_id((SERVER,), now)),
        not state.backends.ready("desk"),
    )


def test_what_a_server_stated_outlasts_its_registration(state: EntryState) -> None:
    """Guards against a lapsed and returned entry that gets all the requests it declined."""
    state.backend_gone("i-1")
    state.backend_listed(SERVER)
    assert is_kept(state) == (True, True, True)


def test_what_a_server_stated_while_unlisted_counts(state: EntryState) -> None:
    """Guards against answers that are ignored because the registration lapsed meanwhile."""
    state.backend_listed(replace(SERVER, started_at=2000))
    assert is_kept(state) == (False, False, False)
    server = state.backends.by_id["i-1"]
    state.backend_gone("i-1")
    state.limit_observed(server, 2.0, sent_at=0.0)
    state.backoff_requested(server, 60.0)
    state.leaving_announced(server)
    state.backend_listed(server)
    assert is_kept(state) == (True, True, True)


def test_what_a_server_stated_ends_with_its_process(state: EntryState) -> None:
    """Guards against a restarted server that is held to what its former process stated.

    A late answer of the former process must not limit its successor either.
    """
    state.backend_gone("i-1")
    state.backend_listed(replace(SERVER, started_at=2000))
    state.limit_observed(SERVER, 2.0, sent_at=0.0)
    state.backoff_requested(SERVER, 60.0)
    state.leaving_announced(SERVER)
    assert is_kept(state) == (False, False, False)


def test_late_answer_of_a_former_process_leaves_the_limit(state: EntryState) -> None:
    """Guards against a higher limit of a former process that overloads its successor."""
    restarted = replace(SERVER, started_at=2000)
    state.backend_listed(restarted)
    state.limit_observed(restarted, 2.0, sent_at=0.0)
    state.limit_observed(SERVER, 9.0, sent_at=0.0)
    assert state.limits.rate("i-1") == 2.0


def test_process_that_replaced_another_is_a_version_to_itself(state: EntryState) -> None:
    """Guards against streams of the recorded version that go on at a process of any other."""
    server = replace(SERVER, id="i-2", version="v1")
    state.backend_listed(server)
    state.process_replaced(server, 2000)
    assert not state.backends.ready("desk", "v1")
    (found,) = state.backends.ready("desk")
    assert state.backends.ready("desk", found.version) == (found,)
    assert software_of(found) == software_of(server)
    registered = replace(server, version="v2", started_at=2000)
    state.backend_listed(registered)
    assert state.backends.ready("desk") == (registered,)


def test_answer_about_a_former_registration_changes_nothing(state: EntryState) -> None:
    """Guards against a new record that is overruled by what was asked before it."""
    server = replace(SERVER, id="i-2", version="v1")
    registered = replace(server, version="v2", started_at=2000)
    state.backend_listed(registered)
    state.process_replaced(server, 2000)
    state.backend_gone("i-2")
    state.process_replaced(registered, 3000)
    assert not state.backends.ready("desk")
    state.backend_listed(registered)
    assert state.backends.ready("desk") == (registered,)


def test_version_of_a_replaced_process_is_the_one_in_its_own_record(state: EntryState) -> None:
    """Guards against a service that counts as having had two versions after a restart."""
    old = replace(SERVER, id="i-2", service="engines", version="v1")
    state.backend_listed(replace(old, id="i-3"))
    state.backend_listed(old)
    state.process_replaced(old, 2000)
    now = state.clock.monotonic()
    assert state.versions.versions("engines", now) == {"v1", "i-2@2000"}
    state.backend_listed(replace(old, started_at=2000))
    assert state.versions.versions("engines", now) == {"v1"}
    state.process_replaced(state.backends.by_id["i-2"], 3000)
    state.backend_listed(replace(old, started_at=4000))
    assert state.versions.versions("engines", now) == {"v1", "i-2@3000"}
