"""State of a send of a request, and whether the request may be sent again after a failure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ragwortwing_policy.chart import load_chart

if TYPE_CHECKING:
    from .routing_table import Repetition


class SendState(StrEnum):
    """States of the chart `send`."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    DECLINED = "declined"
    ANSWERING = "answering"
    ANSWERED = "answered"
    AMBIGUOUS = "ambiguous"


class Send:
    """One send, whose state changes only along the transitions of the chart.

    Example:
        >>> send = Send()
        >>> send.advance("write")
        >>> send.advance("lose")
        >>> send.state, send.certainly_not_run
        (<SendState.AMBIGUOUS: 'ambiguous'>, False)
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = SendState.NOT_SENT

    def advance(self, trigger: str) -> None:
        """Apply a trigger of the chart.

        Raises:
            InvalidTransitionError: The chart has no such transition from the current state.
        """
        self.state = SendState(load_chart("send").next(self.state, trigger))

    @property
    def certainly_not_run(self) -> bool:
        """Whether it is certain that the request has not run and will not run later."""
        return self.state in (SendState.NOT_SENT, SendState.DECLINED)


@dataclass(frozen=True, slots=True)
class SendHistory:
    """The previous sends of one request."""

    sends: int = 0
    """Sends of which at least one byte was written."""
    may_have_run: bool = False
    """Whether any send ended without confirmation that the request did not run."""

    def after(self, send: Send) -> SendHistory:
        """Return the history extended by one more failed send."""
        return SendHistory(
            sends=self.sends + (send.state is not SendState.NOT_SENT),
            may_have_run=self.may_have_run or not send.certainly_not_run,
        )

    def may_send_again(self, repetition: Repetition, maximum_sends: int) -> bool:
        """Return whether the repetition rule and the maximum of sends allow another send."""
        if self.sends >= maximum_sends:
            return False
        return repetition.may_repeat or not self.may_have_run
