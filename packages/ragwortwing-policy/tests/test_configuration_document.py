"""Tests that document faults are reported with their paths and valid documents round-trip."""

from __future__ import annotations

from copy import deepcopy
from datetime import timedelta
from typing import Any

import pytest

from ragwortwing_policy.configuration import Configuration
from ragwortwing_policy.configuration_document import (
    PreviousDocument,
    Refused,
    read_document,
    write_document,
)

DOCUMENT: dict[str, Any] = {
    "format": 1,
    "classes": {
        "chat": {"tier": 0, "first_token_target": "1.5s", "between_token_target": "45ms"},
        "order": {"tier": 1, "first_token_target": "2s"},
        "draft": {"tier": 3, "deadline": "30m", "aging_bound": "2m"},
    },
    "accounts": {"suva-cakes": {"key_digests": ["ab" * 32], "classes": ["chat", "order"]}},
    "models": {"menu": {"context_tokens": 8192}},
    "services": {
        "desk": {
            "prefix": "/desk",
            "routes": [
                {
                    "method": "POST",
                    "path": "/orders",
                    "idempotent": False,
                    "request_class": "order",
                }
            ],
        }
    },
    "presets": {
        "ordinary": {},
        "peak": {"classes": {"draft": {"admitted": False}}, "account_limit_factor": 0.5},
    },
}

FAULT_CASES: list[tuple[tuple[str, ...], Any, str]] = [
    (("format",), 2, "format"),
    (("colour",), {}, "colour"),
    (("classes", "chat", "colour"), 1, "classes.chat.colour"),
    (("classes", "chat", "tier"), "0", "classes.chat.tier"),
    (("classes", "chat", "tier"), True, "classes.chat.tier"),
    (("classes", "chat", "tier"), 16, "classes.chat.tier"),
    (("classes", "chat", "deadline"), 60, "classes.chat.deadline"),
    (("classes", "chat", "deadline"), "1s", "classes.chat.deadline"),
    (("classes", "chat", "queue_limit"), "0s", "classes.chat.queue_limit"),
    (("classes", "chat", "weight"), float("nan"), "classes.chat.weight"),
    (("classes", "Chat"), {"tier": 0}, "classes.Chat"),
    (("accounts", "suva-cakes", "classes"), ["chat", "nope"], "accounts.suva-cakes.classes[1]"),
    (("accounts", "suva-cakes", "classes"), [], "accounts.suva-cakes.classes"),
    (("accounts", "suva-cakes", "key_digests"), ["x"], "accounts.suva-cakes.key_digests[0]"),
    (("accounts", "suva-cakes", "concurrency"), 0, "accounts.suva-cakes.concurrency"),
    (("models", "desk"), {}, "services.desk"),
    (("services", "desk", "prefix"), "/v1/x", "services.desk.prefix"),
    (("services", "desk", "routes"), [{}], "services.desk.routes[0].method"),
    (("presets",), {}, "presets"),
    (("presets", "peak", "classes"), {"nope": {}}, "presets.peak.classes.nope"),
    (("presets", "peak", "classes"), {"chat": {"tier": -1}}, "presets.peak.classes.chat.tier"),
    (("presets", "peak", "classes"), {"chat": {"x": 1}}, "presets.peak.classes.chat.x"),
    (("presets", "peak", "account_limit_factor"), 0, "presets.peak.account_limit_factor"),
]


def changed(path: tuple[str, ...], value: Any) -> dict[str, Any]:
    document = deepcopy(DOCUMENT)
    table = document
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    return document


def test_valid_document_round_trips() -> None:
    configuration = read_document(DOCUMENT, 7, "peak")
    assert isinstance(configuration, Configuration)
    assert configuration.classes_by_name["chat"].first_token_target == timedelta(seconds=1.5)
    assert configuration.services_by_name["desk"].routes[0].idempotent is False
    assert not configuration.admits("draft")
    assert read_document(write_document(configuration), 7, "peak") == configuration


@pytest.mark.parametrize(("path", "value", "fault_path"), FAULT_CASES)
def test_fault_is_reported_with_its_path(
    path: tuple[str, ...], value: Any, fault_path: str
) -> None:
    refused = read_document(changed(path, value), 7, None)
    assert isinstance(refused, Refused)
    assert fault_path in [fault.path for fault in refused.faults]


def test_all_faults_are_reported_together() -> None:
    document = changed(("classes", "chat", "tier"), 99)
    document["classes"]["draft"]["colour"] = "red"
    document["presets"]["peak"]["account_limit_factor"] = -1
    refused = read_document(document, 7, None)
    assert isinstance(refused, Refused)
    assert [fault.path for fault in refused.faults] == [
        "classes.draft.colour",
        "classes.chat.tier",
        "presets.peak.account_limit_factor",
    ]


def test_preset_in_force_must_be_defined() -> None:
    refused = read_document(DOCUMENT, 7, "maintenance")
    assert isinstance(refused, Refused)
    assert [fault.path for fault in refused.faults] == ["presets.maintenance"]


def test_reusing_previous_document_gives_same_result() -> None:
    first = read_document(DOCUMENT, 1, "ordinary")
    assert isinstance(first, Configuration)
    changed = deepcopy(DOCUMENT)
    name = next(iter(changed["accounts"]))
    changed["accounts"][name]["weight"] = 7.0
    changed["accounts"]["broken"] = {"classes": ["no-such-class"]}
    before = PreviousDocument(DOCUMENT, first)
    assert read_document(changed, 2, "ordinary", before) == read_document(changed, 2, "ordinary")
    del changed["accounts"]["broken"]
    second = read_document(changed, 2, "ordinary", before)
    assert second == read_document(changed, 2, "ordinary")
    assert second.accounts_by_name[name].weight == 7.0


@pytest.mark.parametrize("value", [True, 0.0, "0"])
def test_entry_that_only_compares_equal_is_read_again(value: object) -> None:
    """Guards against reusing an entry whose new value compares equal but has another type.

    In Python 0.0 and True are equal to 0 and 1. A process with the previous document must reject
    the new one like a fresh process does. Otherwise they have different configurations in force.
    """
    first = read_document(DOCUMENT, 1, "ordinary")
    assert isinstance(first, Configuration)
    before_document = deepcopy(DOCUMENT)
    before_document["classes"]["chat"]["tier"] = int(value) if value != "0" else 0
    before = read_document(before_document, 1, "ordinary")
    assert isinstance(before, Configuration)
    changed = deepcopy(before_document)
    changed["classes"]["chat"]["tier"] = value
    fresh = read_document(changed, 2, "ordinary")
    assert read_document(changed, 2, "ordinary", PreviousDocument(before_document, before)) == fresh
    assert isinstance(fresh, Refused)


@pytest.mark.parametrize(
    ("table", "name", "entry"),
    [
        ("accounts", "nadi-cakes", {"key_digests": ["ab" * 32], "classes": ["chat"]}),
        ("classes", "order", None),
    ],
)
def test_unchanged_account_that_became_invalid_is_reported(
    table: str, name: str, entry: Any
) -> None:
    """Guards against missing the faults of an account that was reused without changes.

    The account becomes invalid because its class is removed or another account gets its key. The
    result must be the same as for a fresh reader.
    """
    first = read_document(DOCUMENT, 1, "ordinary")
    assert isinstance(first, Configuration)
    changed = deepcopy(DOCUMENT)
    if entry is None:
        del changed[table][name]
    else:
        changed[table][name] = entry
    fresh = read_document(changed, 2, "ordinary")
    assert isinstance(fresh, Refused)
    assert any(fault.path.startswith("accounts.suva-cakes") for fault in fresh.faults)
    assert read_document(changed, 2, "ordinary", PreviousDocument(DOCUMENT, first)) == fresh
