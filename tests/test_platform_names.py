"""Checks that no code outside the adapter uses headers, calls or fields of the users' platform."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

HEADERS = (
    "x-server-stamp|x-expect-instance|x-not-executed|x-token-count|x-prompt-prefix|x-deadline-ms"
    "|x-request-priority|x-instance-id|x-weight-versions|x-kv-backup|kv-from|kv-fetch|x-pin-ms"
    "|x-length-hint|x-tenant|server-limit|server-leaving"
)
CALLS = (
    "/log-(?:append|read|newest|join|leave|owners|commit|trim)|/kv-(?:events|list|move|handle|pin)"
    "|/hold-(?:take|drop)|/readiness"
)
FIELDS = (
    "path_prefix|traffic_split|latency_target_ms|gap_aim_ms|api_keys|kv_tokens|max_attempts"
    "|cold_ms|inner_ports|readiness_addr|budget_ratio|heartbeat_ms|keyed\\.(?:op|servers|status)"
)
NAMES = re.compile(rf"(?<![\w-])(?:{HEADERS}|{CALLS}|{FIELDS})(?![\w-])", re.IGNORECASE)


def product_files() -> list[Path]:
    files = ROOT.glob("packages/*/src/**/*.py")
    return [file for file in files if "standins" not in file.parts]


def test_packages_do_not_use_platform_names() -> None:
    found = [
        f"{file.relative_to(ROOT)}:{number}: {match.group()}"
        for file in product_files()
        for number, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1)
        for match in [NAMES.search(line)]
        if match
    ]
    assert found == []


def test_platform_adapter_matches_the_name_pattern() -> None:
    adapter = "".join(
        file.read_text(encoding="utf-8") for file in ROOT.glob("platform/src/**/*.py")
    )
    assert len({name.lower() for name in NAMES.findall(adapter)}) > 20


def test_platform_adapter_is_small_and_shadows_no_module() -> None:
    """A `platform/__init__.py` at the root would shadow the `platform` module of Python."""
    assert not (ROOT / "platform" / "__init__.py").exists()
    lines = sum(
        len(file.read_text(encoding="utf-8").splitlines())
        for file in ROOT.glob("platform/src/**/*.py")
    )
    assert lines < 2500
