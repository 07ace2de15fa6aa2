"""Tests of the scheduler: queue order, preemption, refusals, aging and draining."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from ragwortwing_policy.configuration import (
    ClassOverride,
    ClientAccount,
    Configuration,
    Preset,
    RequestClass,
)
from ragwortwing_policy.outcomes import NotRunReason
from ragwortwing_policy.reservations import Grant, Preempt, Refuse, Requeued, Reservation
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings

CHAT = RequestClass("chat", tier=0)
DRAFT = RequestClass(
    "draft",
    tier=2,
    first_token_target=timedelta(seconds=30),
    queue_limit=timedelta(seconds=600),
    deadline=timedelta(seconds=600),
)
CONFIGURATION = Configuration(
    revision=1,
    preset="ordinary",
    classes_by_name={"chat": CHAT, "draft": DRAFT},
    accounts_by_name={"a": ClientAccount("a"), "b": ClientAccount("b")},
    presets_by_name={
        "ordinary": Preset("ordinary"),
        "peak": Preset("peak", {"draft": ClassOverride(admitted=False)}),
        "reversed": Preset(
            "reversed", {"draft": ClassOverride(tier=0), "chat": ClassOverride(tier=1)}
        ),
    },
)


def reservation(request_id: str, request_class: str = "chat", account: str = "a") -> Reservation:
    expected_tokens = 20 if request_class == "chat" else 200
    return Reservation(
        request_id,
        request_class,
        account,
        "model",
        deadline=1e9,
        expected_tokens=expected_tokens,
    )


def scheduler(limit: int = 2) -> Scheduler:
    return Scheduler(SchedulerSettings(limit, limit), CONFIGURATION)


def run(subject: Scheduler, request: Reservation, now: float = 0.0) -> None:
    grants = [each for each in subject.offer(request, now) if isinstance(each, Grant)]
    assert [each.request_id for each in grants] == [request.request_id]
    assert subject.started(request, now)


def generate(subject: Scheduler, request_id: str, tokens: int, until: float) -> None:
    subject.progressed(request_id, 1, until - 0.03 * tokens)
    subject.progressed(request_id, tokens - 1, until)


def granted(decisions: list) -> list[str]:
    return [each.request_id for each in decisions if isinstance(each, Grant)]


def test_free_slot_is_granted_at_once_and_expires_unused() -> None:
    subject = scheduler(limit=1)
    assert granted(subject.offer(reservation("one"), 0.0)) == ["one"]
    assert subject.offer(reservation("two", "draft"), 0.1) == []
    assert granted(subject.tick(1.0)) == ["two"]
    assert not subject.started(reservation("one"), 1.0)


def test_duplicate_offer_has_no_effect() -> None:
    subject = scheduler(limit=1)
    subject.offer(reservation("one"), 0.0)
    assert subject.offer(reservation("one"), 0.0) == []
    assert subject.load(0.0).running == 1


def test_more_urgent_request_is_granted_first() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    subject.offer(reservation("draft", "draft"), 0.0)
    subject.offer(reservation("chat"), 0.1)
    assert granted(subject.finished("running", 0.2)) == ["chat"]


def test_accounts_of_a_class_take_turns() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("running", "draft"))
    for index in range(4):
        subject.offer(reservation(f"a{index}", "draft", "a"), 0.0)
    subject.offer(reservation("b0", "draft", "b"), 0.1)
    order = []
    previous = "running"
    for _ in range(5):
        previous = granted(subject.finished(previous, 0.2))[0]
        subject.started(reservation(previous, "draft", previous[0]), 0.2)
        order.append(previous)
    assert order.index("b0") <= 1
    assert [each for each in order if each != "b0"] == ["a0", "a1", "a2", "a3"]


def test_preempted_request_resumes_at_its_offset() -> None:
    """Guards against an urgent request waiting for a long run of a less urgent class.

    The draft in the only slot is preempted for the chat, then resumed at the token where it
    stopped.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    generate(subject, "draft", 100, until=4.0)
    assert subject.offer(reservation("chat"), 4.0) == [Preempt("draft")]
    decisions = subject.preempted("draft", 4.1)
    assert decisions[0] == Requeued("draft")
    assert granted(decisions) == ["chat"]
    assert subject.started(reservation("chat"), 4.1)
    assert granted(subject.finished("chat", 5.0)) == ["draft"]
    assert subject.started(replace(reservation("draft", "draft"), resumed_tokens=100), 5.0)


def test_preempted_request_goes_ahead_of_its_class() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("old", "draft"))
    generate(subject, "old", 10, until=1.0)
    subject.offer(reservation("new", "draft"), 1.0)
    subject.offer(reservation("chat"), 1.0)
    subject.preempted("old", 1.1)
    assert granted(subject.finished("chat", 1.2)) == ["old"]


def test_resumed_run_is_protected_until_target_is_at_risk() -> None:
    """Guards against starving a resumed run, and against protecting it for too long.

    Chats keep arriving while one draft tries to finish. Without protection each resumed run would
    be preempted after a token. With too much protection a chat would miss its target.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    generate(subject, "draft", 10, until=1.0)
    subject.offer(reservation("first"), 1.0)
    subject.preempted("draft", 1.0)
    subject.started(reservation("first"), 1.0)
    generate(subject, "first", 20, until=2.0)
    subject.finished("first", 2.0)
    assert subject.started(replace(reservation("draft", "draft"), resumed_tokens=10), 2.0)
    assert subject.offer(reservation("second"), 2.1) == []
    assert subject.tick(2.5) == []
    assert subject.tick(3.4) == [Preempt("draft")]


def test_resumed_run_that_made_progress_is_preempted_early() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    generate(subject, "draft", 10, until=1.0)
    subject.offer(reservation("first"), 1.0)
    subject.preempted("draft", 1.0)
    subject.started(reservation("first"), 1.0)
    subject.finished("first", 1.2)
    subject.started(replace(reservation("draft", "draft"), resumed_tokens=10), 1.2)
    generate(subject, "draft", 64, until=4.0)
    assert subject.offer(reservation("second"), 4.0) == [Preempt("draft")]


def test_infeasible_arrival_is_refused_with_retry_delay() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    subject.offer(reservation("queued"), 0.0)
    decisions = subject.offer(reservation("hopeless"), 0.0)
    assert [type(each) for each in decisions] == [Refuse]
    assert decisions[0].reason is NotRunReason.OVERLOADED
    assert decisions[0].retry_after >= timedelta(seconds=1)


def test_urgent_arrival_is_not_refused_while_preemption_is_possible() -> None:
    """Guards against refusing an urgent request while a less urgent run could be preempted.

    All slots run drafts when many chats arrive. Before the first refusal, every draft must have
    been preempted.
    """
    subject = scheduler(limit=4)
    for index in range(4):
        run(subject, reservation(f"draft{index}", "draft"))
    decisions = [
        each for index in range(20) for each in subject.offer(reservation(f"chat{index}"), 0.1)
    ]
    preempted = [each for each in decisions if isinstance(each, Preempt)]
    refused = [index for index, each in enumerate(decisions) if isinstance(each, Refuse)]
    assert len(preempted) == 4
    assert refused
    assert all(decisions.index(each) < refused[0] for each in preempted)


def test_late_request_is_accepted_while_preemption_is_possible() -> None:
    """Guards against refusing a late urgent request while a less urgent run could be preempted.

    Another agent refused the request after its queue limit was used up. It is answered late instead
    of being refused while a draft keeps its slot.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    late = replace(reservation("late"), deadline=158.5)
    assert subject.offer(late, 100.0) == [Preempt("draft")]


def test_queued_request_that_became_infeasible_is_refused() -> None:
    """Guards against holding a queued request until its deadline after the engine stopped.

    It must be refused by the next scan of the queue after its time has run out.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    assert subject.offer(reservation("waiting"), 0.0) == []
    assert subject.tick(0.3) == []
    (refusal,) = subject.tick(1.6)
    assert isinstance(refusal, Refuse)
    assert refusal.request_id == "waiting"
    assert subject.load(1.6).queued == 0


def test_request_past_its_deadline_is_refused_with_that_reason() -> None:
    """Guards against a request waiting in the queue after its caller has stopped waiting."""
    subject = scheduler(limit=1)
    run(subject, reservation("running", "draft"))
    subject.offer(replace(reservation("late", "draft"), deadline=600.0), 0.0)
    assert subject.tick(600.0) == [Refuse("late", NotRunReason.DEADLINE)]


def test_wait_at_another_agent_counts() -> None:
    """Guards against queueing a request for its whole limit a second time at another agent.

    Most of its time was used up in another agent's queue. It would be answered too late, so it is
    refused.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    fresh = replace(reservation("fresh"), deadline=160.0)
    tried_elsewhere = replace(reservation("tried"), deadline=158.8)
    assert subject.offer(fresh, 100.0) == []
    subject.withdraw("fresh", 100.0)
    assert [type(each) for each in subject.offer(tried_elsewhere, 100.0)] == [Refuse]


def test_free_slot_goes_to_request_that_can_start_in_time() -> None:
    """Guards against answering every queued request late after an engine stalled.

    The first request has waited too long. It is refused, so that the next one is answered in time.
    """
    subject = scheduler(limit=1)
    run(subject, replace(reservation("running"), expected_tokens=1))
    subject.offer(replace(reservation("late"), expected_tokens=1), 0.0)
    subject.offer(replace(reservation("next"), expected_tokens=1, deadline=60.6), 0.6)
    decisions = subject.finished("running", 1.6)
    assert [type(each) for each in decisions] == [Refuse, Grant]
    assert [each.request_id for each in decisions] == ["late", "next"]


def test_aged_request_gets_slot_if_urgent_targets_are_met() -> None:
    subject = scheduler(limit=8)
    for index in range(8):
        run(subject, reservation(f"chat{index}"))
    subject.offer(reservation("draft", "draft"), 0.0)
    subject.tick(121.0)
    subject.offer(reservation("chat8"), 121.0)
    assert granted(subject.finished("chat0", 121.0)) == ["draft"]


def test_aged_request_waits_if_urgent_request_would_miss_target() -> None:
    """Guards against aging at the expense of urgent requests.

    A draft has waited past its aging bound, but a chat would miss its target without the slot.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    subject.offer(reservation("draft", "draft"), 0.0)
    subject.offer(reservation("chat"), 121.0)
    assert granted(subject.finished("running", 121.1)) == ["chat"]


def test_preset_sheds_class_and_reorders_queue() -> None:
    subject = scheduler(limit=1)
    run(subject, reservation("running"))
    subject.offer(reservation("draft", "draft"), 0.0)
    subject.offer(reservation("chat"), 0.1)
    subject.configure(replace(CONFIGURATION, preset="reversed"), 0.2)
    assert granted(subject.finished("running", 0.3)) == ["draft"]
    subject.offer(reservation("late", "draft"), 0.3)
    shed = Refuse("late", NotRunReason.SHED_BY_PRESET)
    assert shed in subject.configure(replace(CONFIGURATION, preset="peak"), 0.4)
    assert subject.offer(reservation("more", "draft"), 0.5) == [
        Refuse("more", NotRunReason.SHED_BY_PRESET)
    ]


def test_running_answer_finishes_after_its_class_is_removed() -> None:
    """Guards against cutting off running answers of a class that is shed or removed.

    One answer is preempted and another one arrives from a lost engine. Both must still finish.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    subject.configure(replace(CONFIGURATION, preset="peak"), 0.1)
    moved = replace(reservation("moved", "draft"), resumed_tokens=30)
    assert subject.offer(moved, 0.2) == []
    subject.configure(replace(CONFIGURATION, classes_by_name={"chat": CHAT}), 0.3)
    assert subject.offer(reservation("chat"), 0.4) == [Preempt("draft")]
    assert granted(subject.preempted("draft", 0.5)) == ["chat"]
    assert granted(subject.finished("chat", 0.6)) == ["moved"]
    assert granted(subject.finished("moved", 0.7)) == ["draft"]


def test_drain_refuses_queued_requests_and_finishes_begun_answers() -> None:
    """Guards against refusing a preempted answer when its VM drains.

    The caller already has a part of the preempted draft, so it must still get a slot. A draft that
    has not begun is refused.
    """
    subject = scheduler(limit=1)
    run(subject, reservation("draft", "draft"))
    subject.offer(reservation("chat"), 0.0)
    subject.preempted("draft", 0.1)
    subject.started(reservation("chat"), 0.1)
    subject.offer(reservation("other", "draft"), 0.2)
    assert subject.drain(0.3) == [Refuse("other", NotRunReason.DRAINING)]
    assert subject.offer(reservation("new"), 0.3) == [Refuse("new", NotRunReason.DRAINING)]
    assert granted(subject.finished("chat", 0.4)) == ["draft"]


def test_withdrawn_reservation_frees_its_slot() -> None:
    subject = scheduler(limit=1)
    subject.offer(reservation("held"), 0.0)
    subject.offer(reservation("gone", "draft"), 0.0)
    subject.offer(reservation("next", "draft"), 0.0)
    assert subject.withdraw("gone", 0.1) == []
    assert granted(subject.withdraw("held", 0.1)) == ["next"]


def test_stalled_engine_gets_no_requests_until_next_token() -> None:
    """Guards against sending requests to a stalled engine.

    All streams are silent, so it is unknown when a new request would start. Requests are granted
    again after the next token.
    """
    subject = scheduler(limit=3)
    for name in ("one", "two"):
        run(subject, reservation(name))
        generate(subject, name, 10, until=1.0)
    assert subject.offer(reservation("new"), 2.5) == []
    assert subject.load(2.5).predicted_wait >= timedelta(seconds=1.5)
    subject.progressed("one", 1, 2.6)
    assert granted(subject.tick(2.6)) == ["new"]


def test_engine_with_stopped_readers_is_probed() -> None:
    """Guards against blocking a healthy engine whose callers have stopped reading.

    Their streams are silent, which looks like a stall. After a while one request at a time must be
    granted as a probe.
    """
    subject = scheduler(limit=4)
    for name in ("one", "two"):
        run(subject, reservation(name))
        generate(subject, name, 10, until=1.0)
    subject.offer(reservation("probe", "draft"), 5.0)
    subject.offer(reservation("next", "draft"), 5.0)
    assert granted(subject.tick(6.1)) == ["probe"]
    subject.started(reservation("probe", "draft"), 6.1)
    assert subject.tick(6.2) == []
    subject.progressed("probe", 1, 6.3)
    assert granted(subject.tick(6.3)) == ["next"]
