"""Where a resumed stream may go on, and which versions can have begun it."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from ragwortwing_policy.direct.backend_list import BackendList, BackendServer
from ragwortwing_policy.direct.resumption import (
    MayGoOn,
    MayNotGoOn,
    OriginEvidence,
    OriginSource,
    decide_resumption,
    stream_lifetime,
)
from ragwortwing_policy.direct.routing_table import (
    Repetition,
    Route,
    RoutingTable,
    ServiceShare,
)
from ragwortwing_policy.direct.stream_origins import STREAM_LIFETIME, OriginRecord, StreamOrigin
from ragwortwing_policy.direct.version_history import HISTORY_KEPT, VersionHistory
from ragwortwing_policy.outcomes import NotRunReason

SERVER = BackendServer("i-1", "engines", "127.0.0.1:1", "suva", 6, version="v1")
OLD = StreamOrigin("engines", "v1")
UNKNOWN = NotRunReason.STREAM_UNKNOWN


def table(version: int, **services_by_prefix: str) -> RoutingTable:
    second = timedelta(seconds=1)
    routes = tuple(
        Route(
            prefix,
            "a.example",
            f"/{prefix.replace('_', '/')}/",
            tuple(ServiceShare(each, 1.0) for each in services.split()),
            Repetition.RESUMABLE,
            True,
            second,
            second,
            0,
            1,
        )
        for prefix, services in services_by_prefix.items()
    )
    return RoutingTable(version, routes, {}, {})


def history(*servers: BackendServer) -> tuple[BackendList, VersionHistory]:
    backends = BackendList()
    for server in servers:
        backends.put(server)
    return backends, VersionHistory(backends)


def confirmed(origin: StreamOrigin | None) -> OriginRecord:
    return OriginRecord(origin, "entry-1", (1, 0), is_confirmed=True)


def sole(*versions: str, covers: bool = True, is_current: bool = True) -> OriginEvidence:
    return OriginEvidence(None, frozenset(versions), covers, is_current)


def test_record_decides_whatever_versions_are_listed() -> None:
    evidence = replace(sole("v2"), record=confirmed(OLD))
    assert decide_resumption(evidence, {"engines"}) == MayGoOn(OLD, OriginSource.RECORD)


@pytest.mark.parametrize(
    ("evidence", "services", "reason"),
    [
        (OriginEvidence(), {"engines"}, UNKNOWN),
        (sole("v1", covers=False), {"engines"}, UNKNOWN),
        (sole("v1", is_current=False), {"engines"}, UNKNOWN),
        (sole("v1", "v2"), {"engines"}, UNKNOWN),
        (sole(), {"engines"}, UNKNOWN),
        (sole("v1"), {"engines", "others"}, UNKNOWN),
        (OriginEvidence(confirmed(None)), {"engines"}, UNKNOWN),
        (replace(sole("v1"), record=confirmed(None)), {"engines"}, UNKNOWN),
        (OriginEvidence(confirmed(OLD)), {"others"}, NotRunReason.NO_SAME_VERSION),
        (OriginEvidence(replace(confirmed(OLD), is_confirmed=False)), {"engines"}, UNKNOWN),
    ],
)
def test_stream_that_may_have_begun_elsewhere_does_not_go_on(
    evidence: OriginEvidence, services: set[str], reason: NotRunReason
) -> None:
    """Guards against a join of two versions, or of two services of one route."""
    assert decide_resumption(evidence, services) == MayNotGoOn(reason)


def test_a_peer_that_knows_the_list_longer_vouches_for_the_version() -> None:
    evidence = sole("v1", covers=False).merged(sole("v1"))
    assert decide_resumption(evidence, {"engines"}) == MayGoOn(OLD, OriginSource.SOLE_VERSION)


def test_current_reading_of_an_entry_that_started_late_vouches_for_nothing() -> None:
    """Guards against an old reading of one entry joined to a short history of another."""
    evidence = sole("v1", covers=False).merged(sole("v1", is_current=False))
    assert decide_resumption(evidence, {"engines"}) == MayNotGoOn(UNKNOWN)


def test_a_version_that_any_entry_lists_counts() -> None:
    """Guards against a peer with an old list that vouches for the version before a release."""
    evidence = sole("v1").merged(sole("v1", "v2", covers=False))
    assert decide_resumption(evidence, {"engines"}) == MayNotGoOn(UNKNOWN)


def test_latest_send_that_any_entry_knows_counts() -> None:
    """Guards against the former scheduler's grant of a send that brought no event."""
    former = OriginRecord(OLD, "entry-1", (1, 0))
    latest = OriginRecord(StreamOrigin("engines", "v2"), "entry-1", (2, 0))
    for first, second in ((former, latest), (latest, former)):
        evidence = OriginEvidence(first).merged(OriginEvidence(second))
        assert evidence.record == latest


def test_version_counts_until_a_stream_of_it_has_ended() -> None:
    """Guards against a version that is forgotten while its streams can still be resumed."""
    backends, versions = history(SERVER, replace(SERVER, id="i-2", version="v2"))
    versions.left(SERVER, now=10.0)
    backends.remove("i-1")
    assert versions.versions("engines", since=10.0) == {"v1", "v2"}
    assert versions.versions("engines", since=10.1) == {"v2"}


def test_versions_of_other_services_do_not_count() -> None:
    _, versions = history(SERVER, replace(SERVER, id="i-2", service="others", version="v2"))
    assert versions.versions("engines", since=0.0) == {"v1"}


def test_versions_that_left_long_ago_are_forgotten() -> None:
    """Guards against memory that grows with each release."""
    _, versions = history()
    for number in range(100):
        versions.left(replace(SERVER, version=f"v{number}"), now=number * HISTORY_KEPT)
    assert versions.versions("engines", since=0.0) == {"v98", "v99"}


def test_list_is_known_from_the_snapshot_on() -> None:
    """Guards against an entry that started after a version left and vouches for the other."""
    _, versions = history(SERVER)
    assert not versions.covers("engines", since=100.0)
    versions.list_read(10.0, has_all_records=False)
    assert not versions.covers("engines", since=9.0)
    assert versions.covers("engines", since=10.0)
    versions.list_read(50.0, has_all_records=False)
    assert not versions.covers("engines", since=20.0)


def test_list_without_any_replaced_record_is_known_as_a_whole() -> None:
    _, versions = history(SERVER)
    versions.list_read(10.0, has_all_records=True)
    assert versions.covers("engines", since=-20.0)


@pytest.mark.parametrize(
    ("before", "after", "gained"),
    [
        ({"a": "engines"}, {"a": "others"}, {"others"}),
        ({"a": "engines"}, {"a": "engines others"}, {"others"}),
        ({"a": "engines others"}, {"a": "engines"}, {"engines"}),
        ({"a": "engines"}, {"a": "engines", "a_b": "others"}, {"others"}),
        ({"a": "engines", "a_b": "others"}, {"a": "engines"}, {"engines"}),
        ({"a": "engines"}, {"a": "engines", "c": "others"}, set()),
        ({"a": "engines", "c": "others"}, {"a": "engines"}, set()),
    ],
)
def test_service_that_took_over_a_route_is_no_certain_origin(
    before: dict[str, str], after: dict[str, str], gained: set[str]
) -> None:
    """Guards against a stream of another service that goes on at the route's new service."""
    _, versions = history(SERVER)
    versions.list_read(0.0, has_all_records=False)
    versions.routes_changed(table(1, **before), table(2, **after), now=30.0)
    for service in ("engines", "others"):
        assert versions.covers(service, since=15.0) is (service not in gained)
        assert versions.covers(service, since=31.0)


def test_new_version_of_a_large_table_does_not_match_each_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that stands still while it compares thousands of routes."""
    _, versions = history(SERVER)
    names = {f"route-{number}": "engines" for number in range(2000)}
    before, after = table(1, **names), table(2, **names, more="others")

    def match(*_: object) -> None:
        raise AssertionError("the routes of a host are searched one by one")

    monkeypatch.setattr(RoutingTable, "match", match)
    versions.routes_changed(before, after, now=30.0)


def test_lifetime_covers_attempts_on_slow_routes() -> None:
    assert stream_lifetime(timedelta(seconds=4)) == STREAM_LIFETIME
    assert stream_lifetime(timedelta(seconds=6)) == 24.0
    assert stream_lifetime(timedelta(seconds=60)) == 240.0
