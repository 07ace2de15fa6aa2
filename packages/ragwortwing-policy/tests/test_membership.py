"""Tests of how the platform's list, connections and leaving announcements set agent states."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.membership import ListedAgent, Membership, MemberState, StateChange

ADDRESS = "10.0.0.1:7000"
LIVE = ListedAgent("agent-1", ADDRESS)
LEAVING = ListedAgent("agent-1", ADDRESS, leaving=True)


def serving() -> Membership:
    membership = Membership()
    membership.set_list([LIVE])
    membership.connected(ADDRESS, "agent-1/a")
    return membership


def test_listed_agent_serves_only_while_connected() -> None:
    membership = Membership()
    assert membership.set_list([LIVE]) == ()
    assert membership.addresses == {ADDRESS}
    assert not membership.takes_new_work("agent-1/a")
    membership.connected(ADDRESS, "agent-1/a")
    assert membership.takes_new_work("agent-1/a")
    assert membership.disconnected(ADDRESS)[-1].state is MemberState.JOINING
    assert not membership.takes_new_work("agent-1/a")
    membership.connected(ADDRESS, "agent-1/a")
    assert membership.takes_new_work("agent-1/a")


def test_either_word_ends_new_work_at_once() -> None:
    """Guards against new work at an agent that is leaving, by list, announcement or removal."""
    by_list, by_agent, by_removal = serving(), serving(), serving()
    by_list.set_list([LEAVING])
    by_agent.leaving_announced("agent-1/a")
    by_removal.set_list([])
    for membership in (by_list, by_agent, by_removal):
        assert membership.state_of("agent-1/a") is MemberState.DRAINING
        assert membership.addresses == {ADDRESS}
        assert membership.disconnected(ADDRESS)[0].state is MemberState.GONE
    for membership, comes_back in ((by_list, True), (by_agent, False), (by_removal, True)):
        membership.set_list([LIVE])
        membership.connected(ADDRESS, "agent-1/a")
        assert membership.takes_new_work("agent-1/a") is comes_back


def test_only_list_removal_can_be_reversed() -> None:
    """Guards against losing an agent's capacity after the list dropped it by mistake.

    The list contains the agent again a few seconds later. Without a way back, the agent would stay
    unused until it is restarted.
    """
    membership = serving()
    membership.set_list([])
    membership.set_list([LIVE])
    assert membership.takes_new_work("agent-1/a")
    membership.leaving_announced("agent-1/a")
    membership.set_list([LIVE])
    assert not membership.takes_new_work("agent-1/a")


def test_replacement_at_same_address_is_a_different_agent() -> None:
    """Guards against mistaking a replacement at the same address for the old agent.

    The VM is replaced within a second. The new agent would be asked to continue streams that it
    never had.
    """
    membership = serving()
    changes = membership.connected(ADDRESS, "agent-1/b")
    assert changes[0] == StateChange("agent-1/a", ADDRESS, MemberState.GONE)
    assert membership.takes_new_work("agent-1/b")
    membership.connected(ADDRESS, "agent-1/a")
    assert membership.state_of("agent-1/a") is MemberState.GONE


EVENTS = st.one_of(
    st.tuples(st.just("list"), st.lists(st.integers(0, 3), max_size=3)),
    st.tuples(st.just("connect"), st.integers(0, 1), st.integers(0, 3)),
    st.tuples(st.just("disconnect"), st.integers(0, 1)),
    st.tuples(st.just("word"), st.integers(0, 3)),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(EVENTS, max_size=30))
def test_left_agent_stays_gone_and_only_live_agents_get_work(events: list[tuple]) -> None:  # type: ignore[type-arg]
    membership = Membership()
    final: set[str] = set()
    live: set[str] = set()
    announced: set[str] = set()
    connected: dict[str, str] = {}
    for kind, *values in events:
        if kind == "list":
            agents = [ListedAgent(f"n{v // 2}", f"a{v // 2}", v % 2 == 1) for v in values[0]]
            live = {a.address for a in {a.address: a for a in agents}.values() if not a.leaving}
            changes = membership.set_list(agents)
        elif kind == "connect":
            address, agent_id = f"a{values[0]}", f"id{values[1]}-{values[0]}"
            connected[address] = agent_id
            changes = membership.connected(address, agent_id)
        elif kind == "disconnect":
            connected.pop(f"a{values[0]}", None)
            changes = membership.disconnected(f"a{values[0]}")
        else:
            agent_id = f"id{values[0]}-0"
            if connected.get("a0") == agent_id:
                announced.add(agent_id)
            changes = membership.leaving_announced(agent_id)
        ends = {each.agent_id for each in changes if each.state is MemberState.GONE}
        final |= {each for each in ends if each in announced or kind == "connect"}
        assert live <= membership.addresses
        for address in ("a0", "a1"):
            for number in range(4):
                agent_id = f"id{number}-{address[1]}"
                if agent_id in final:
                    assert membership.state_of(agent_id) is MemberState.GONE
                if membership.takes_new_work(agent_id):
                    assert connected.get(address) == agent_id
                    assert address in live
                    assert agent_id not in announced
