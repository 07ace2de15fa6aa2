"""Injects random faults into real processes that serve streams and orders."""

from __future__ import annotations

from ..faults.runner import FaultRun, run_in_temporary_directory
from .registry import experiment


@experiment("faults", in_all=False)
def run(seed: int) -> FaultRun:
    """Inject faults into real processes on a seeded schedule and check the system's guarantees."""
    return run_in_temporary_directory(seed)
