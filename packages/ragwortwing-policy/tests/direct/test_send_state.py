"""Whether a request may be sent again after a failed send."""

from __future__ import annotations

import pytest

from ragwortwing_policy.chart import InvalidTransitionError
from ragwortwing_policy.direct.routing_table import Repetition
from ragwortwing_policy.direct.send_state import Send, SendHistory


def send_after(*triggers: str) -> Send:
    send = Send()
    for trigger in triggers:
        send.advance(trigger)
    return send


@pytest.mark.parametrize(
    ("triggers", "may_have_run", "sends"),
    [
        ((), False, 0),
        (("write", "decline"), False, 1),
        (("write", "lose"), True, 1),
        (("write", "begin_answer", "lose"), True, 1),
    ],
)
def test_only_unsent_or_declined_sends_did_not_run(
    triggers: tuple[str, ...], may_have_run: bool, sends: int
) -> None:
    history = SendHistory().after(send_after(*triggers))
    assert (history.may_have_run, history.sends) == (may_have_run, sends)
    assert history.may_send_again(Repetition.AT_MOST_ONCE, 2) is not may_have_run
    assert history.may_send_again(Repetition.IDEMPOTENT, 2)


def test_an_uncertain_send_stays_uncertain() -> None:
    """Guards against reporting that a request did not run when its first send was lost and its
    second was declined: the second answer says nothing about the first send."""
    lost = SendHistory().after(send_after("write", "lose"))
    assert lost.after(send_after("write", "decline")).may_have_run


def test_failed_connections_do_not_count_as_sends() -> None:
    history = SendHistory()
    for _ in range(5):
        history = history.after(Send())
    assert history.may_send_again(Repetition.AT_MOST_ONCE, 1)
    assert not history.after(send_after("write", "decline")).may_send_again(
        Repetition.IDEMPOTENT, 1
    )


def test_a_lost_send_cannot_be_declined_afterwards() -> None:
    with pytest.raises(InvalidTransitionError):
        send_after("write", "lose", "decline")
