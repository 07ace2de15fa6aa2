"""Shared fixtures of the entry tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from entry_bench import Bench, running_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def bench() -> AsyncIterator[Bench]:
    async with running_entry() as bench:
        yield bench
