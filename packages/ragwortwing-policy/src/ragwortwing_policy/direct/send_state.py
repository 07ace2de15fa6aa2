"""What is known of one send of a request, and what may follow when it fails."""

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
    """One send; the chart allows only steps that keep its state true.

    Example:
        >>> send = Send()
        >>> send.advance("write")
        >>> send.advance("lose")
        >>> send.state, send.has_run_for_certain_not
        (<SendState.AMBIGUOUS: 'ambiguous'>, False)
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = SendState.NOT_SENT

    def advance(self, trigger: str) -> None:
        """Follow one edge of the chart.

        Raises:
            InvalidTransitionError: The chart has no such edge from the present state.
        """
        self.state = SendState(load_chart("send").next(self.state, trigger))

    @property
    def has_run_for_certain_not(self) -> bool:
        """Whether the request is known not to have run, and not to run later."""
        return self.state in (SendState.NOT_SENT, SendState.DECLINED)


@dataclass(frozen=True, slots=True)
class SendHistory:
    """The sends of one request so far."""

    sends: int = 0
    """Sends of which a byte was written."""
    may_have_run: bool = False
    """Whether any of them ended without the word that it did not run."""

    def after(self, send: Send) -> SendHistory:
        """Return the history with one more send that has failed."""
        return SendHistory(
            sends=self.sends + (send.state is not SendState.NOT_SENT),
            may_have_run=self.may_have_run or not send.has_run_for_certain_not,
        )

    def may_send_again(self, repetition: Repetition, maximum_sends: int) -> bool:
        """Return whether the kind of request and the route's bound allow one more send."""
        if self.sends >= maximum_sends:
            return False
        return repetition.may_repeat or not self.may_have_run
