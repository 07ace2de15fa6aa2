"""Experiments in which engines differ, slow down or crash."""

from __future__ import annotations

from dataclasses import replace

from ..model.site import Fault, Scenario
from .comparison import Comparison, compare
from .registry import experiment
from .site_loads import CHAT, DRAFTS, ORDERS, at_load, desks, engines

UNEQUAL_SPEEDS = (0.4, 0.6, 0.9, 1.1, 1.4, 1.6)


@experiment("unequal")
def unequal(seed: int) -> Comparison:
    """Engines at 0.4 to 1.6 times the usual speed, at 85% load."""
    backends = [*engines(UNEQUAL_SPEEDS), *desks()]
    traffics = (at_load(CHAT, 0.5, backends), at_load(DRAFTS, 0.35, backends), ORDERS)
    return compare("unequal", Scenario(backends, traffics, duration=90), seed)


@experiment("slowdown")
def slowdown(seed: int) -> Comparison:
    """One engine slows to a tenth of its speed while its load report lags, at 70% load."""
    backends = [*engines(), *desks()]
    traffics = (at_load(CHAT, 0.4, backends), at_load(DRAFTS, 0.3, backends), ORDERS)
    faults = (Fault(20, "engine-2", speed_factor=0.1), Fault(70, "engine-2"))
    return compare("slowdown", Scenario(backends, traffics, 100, faults), seed)


@experiment("crash")
def crash(seed: int) -> Comparison:
    """The VM of one engine is lost, and later that of one order desk, at 70% load."""
    backends = [*engines(), *desks()]
    traffics = (at_load(CHAT, 0.4, backends), at_load(DRAFTS, 0.3, backends), ORDERS)
    faults = (Fault(30, "engine-2", crash=True), Fault(40, "desk-1", crash=True))
    return compare("crash", Scenario(backends, traffics, 80, faults), seed)


@experiment("hot_prefix")
def hot_prefix(seed: int) -> Comparison:
    """Half of the chat shares one long prefix, and each engine caches eight."""
    backends = [*engines(), *desks()]
    chat = replace(CHAT, prompt_tokens=2200, prefix_tokens=2000, prefixes=48, hot_share=0.5)
    traffics = (at_load(chat, 0.5, backends), at_load(DRAFTS, 0.3, backends))
    return compare("hot_prefix", Scenario(backends, traffics, duration=80), seed)
