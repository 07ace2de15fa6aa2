"""Random faults against real processes, with streams and orders running."""

from __future__ import annotations

from ..faults.runner import FaultRun, run_in_temporary_directory
from .registry import experiment


@experiment("faults", in_all=False)
def run(seed: int) -> FaultRun:
    """Kill, freeze, cut and race real processes by a seed's schedule; check what must hold."""
    return run_in_temporary_directory(seed)
