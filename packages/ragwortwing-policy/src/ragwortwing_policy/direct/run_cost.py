"""Predicted engine time of a run, the unit in which engine time is divided between accounts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .engine_load import EngineLoad, PrefillPlan
    from .prompt_parts import Prompt

DECODE_STEP_SECONDS = 0.01
"""Assumed seconds of one decode step of a full engine; the step serves every running request."""


def predicted_engine_seconds(prefill_seconds: float, output_tokens: int, slots: int) -> float:
    """Return the predicted engine time of a run: its prefill, and its part of the decode steps.

    Args:
        prefill_seconds: Predicted prefill time on an otherwise idle engine.
        output_tokens: Maximum tokens of the answer.
        slots: Requests that the engine runs concurrently; they share each decode step.

    Example:
        >>> round(predicted_engine_seconds(0.03, 320, slots=64), 3)
        0.08
    """
    return prefill_seconds + _decode_seconds(output_tokens, slots)


def _decode_seconds(output_tokens: int, slots: int) -> float:
    return output_tokens * DECODE_STEP_SECONDS / max(1, slots)


@dataclass(frozen=True, slots=True)
class RunCost:
    """The predicted engine time of a run, and what is needed to correct it."""

    prefill_seconds: float
    output_tokens: int
    slots: int

    @property
    def seconds(self) -> float:
        """Predicted engine seconds."""
        return predicted_engine_seconds(self.prefill_seconds, self.output_tokens, self.slots)

    @classmethod
    def on(cls, load: EngineLoad, reading: PrefillPlan, prompt: Prompt) -> RunCost:
        """Return the cost of a run on an engine."""
        return cls(load.predicted_prefill_seconds(reading), prompt.output_tokens, load.traits.slots)

    def unused(self, until_read: float | None, after_read: float) -> float:
        """Return the predicted engine seconds that a run did not use.

        A run never counts for more than predicted: an engine that takes longer is slowed by the
        prompts of others.

        Args:
            until_read: Seconds from the send to the first event; None if there was none.
            after_read: Seconds from the first event, or without one from the send, to the end.
        """
        decode = _decode_seconds(self.output_tokens, self.slots)
        if until_read is None:
            return decode + max(0.0, self.prefill_seconds - after_read)
        return max(0.0, decode - after_read / max(1, self.slots))
