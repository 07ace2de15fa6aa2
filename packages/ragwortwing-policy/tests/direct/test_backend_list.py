"""The list of backend servers across changes and outages of the store."""

from __future__ import annotations

from dataclasses import replace

from ragwortwing_policy.direct.backend_list import BackendList

from .builders import engines


def test_leaving_servers_stay_listed_but_get_no_new_requests() -> None:
    backends = BackendList()
    first, second = engines(2)
    backends.put(first)
    backends.put(second)
    backends.put(replace(first, leaving=True))
    assert backends.ready("engines") == (second,)
    assert set(backends.by_id) == {"i-0", "i-1"}


def test_a_missing_server_is_kept_until_its_deadline() -> None:
    """Guards against removing a live engine whose registration expired in an outage.

    The first report that it is missing sets its deadline; a second one does not extend it.
    """
    backends = BackendList()
    backends.put(engines(1)[0])
    backends.mark_missing("i-0", until=2.5)
    backends.mark_missing("i-0", until=9.0)
    assert backends.drop_missing(2.4) == ()
    assert len(backends.ready("engines")) == 1
    assert backends.drop_missing(2.5) == ("i-0",)
    assert backends.ready("engines") == ()


def test_a_missing_server_that_is_listed_again_stays() -> None:
    backends = BackendList()
    backends.put(engines(1)[0])
    backends.mark_missing("i-0", until=2.5)
    backends.put(engines(1)[0])
    assert backends.drop_missing(99.0) == ()
    assert len(backends.ready("engines")) == 1
