"""Experiments in which the offered load exceeds the engines' capacity."""

from __future__ import annotations

from dataclasses import replace

from ..model.site import Scenario
from ..model.workload import AccountShare, RetryStyle, Surge
from .comparison import Comparison, compare
from .registry import experiment
from .site_loads import CHAT, DESK_QUERIES, DRAFTS, NARRATIVES, ORDERS, at_load, desks, engines

ACCOUNT_COUNT = 3500


@experiment("burst")
def burst(seed: int) -> Comparison:
    """Chat sends five times its rate for 60 s over drafts and narratives."""
    backends = [*engines(), *desks()]
    surge = (Surge(20, 80, 5),)
    traffics = (
        replace(at_load(CHAT, 0.25, backends), surges=surge),
        at_load(DRAFTS, 0.3, backends),
        at_load(NARRATIVES, 0.15, backends),
        ORDERS,
    )
    return compare("burst", Scenario(backends, traffics, duration=100), seed, top_class="chat")


@experiment("quarter_end")
def quarter_end(seed: int) -> Comparison:
    """Narratives at ten times their rate under steady desk queries."""
    backends = [*engines(), *desks()]
    traffics = (
        at_load(DESK_QUERIES, 0.35, backends),
        replace(at_load(NARRATIVES, 0.15, backends), surges=(Surge(15, 75, 10),)),
        ORDERS,
    )
    return compare("quarter_end", Scenario(backends, traffics, duration=90), seed, top_class="desk")


@experiment("wedding")
def wedding(seed: int) -> Comparison:
    """Chat at four times its rate over drafts."""
    backends = [*engines(), *desks()]
    traffics = (
        replace(at_load(CHAT, 0.2, backends), surges=(Surge(15, 75, 4),)),
        at_load(DRAFTS, 0.7, backends),
        replace(ORDERS, surges=(Surge(15, 75, 4),)),
    )
    return compare("wedding", Scenario(backends, traffics, duration=90), seed, top_class="chat")


@experiment("storm")
def storm(seed: int) -> Comparison:
    """Refused callers retry at once, at 1.4 times the capacity."""
    backends = [*engines(), *desks()]
    traffics = (
        replace(
            at_load(CHAT, 0.4, backends), retry=RetryStyle.AT_ONCE, surges=(Surge(15, 45, 2.5),)
        ),
        replace(at_load(DRAFTS, 0.4, backends), retry=RetryStyle.AT_ONCE),
        ORDERS,
    )
    return compare("storm", Scenario(backends, traffics, duration=60), seed)


@experiment("endless_top")
def endless_top(seed: int) -> Comparison:
    """The most urgent tier alone sends 1.3 times the capacity for the whole run."""
    backends = [*engines(), *desks()]
    traffics = (
        at_load(CHAT, 1.3, backends),
        at_load(DRAFTS, 0.2, backends),
        at_load(NARRATIVES, 0.1, backends),
    )
    return compare(
        "endless_top", Scenario(backends, traffics, duration=100), seed, top_class="chat"
    )


@experiment("many_accounts")
def many_accounts(seed: int) -> Comparison:
    """One of 3,500 accounts sends more chat than all the others together."""
    backends = [*engines(), *desks()]
    others = tuple(AccountShare(f"account-{each}", 1.0) for each in range(ACCOUNT_COUNT - 1))
    flooding = AccountShare("flooding", 2.0 * len(others))
    traffics = (
        replace(at_load(CHAT, 1.2, backends), accounts=(*others, flooding)),
        at_load(DRAFTS, 0.3, backends),
    )
    return compare("many_accounts", Scenario(backends, traffics, duration=60), seed)
