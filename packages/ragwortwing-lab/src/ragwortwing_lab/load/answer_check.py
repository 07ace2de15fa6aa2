"""Verifies complete answers against the deterministic text of the stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from ..standins.generation import answer_text

DATA = b"data: "
DONE = b"[DONE]"
OUTCOME_EVENT = b"event: outcome"


class AnswerFault(StrEnum):
    """Defect found in an answer."""

    NONE = ""
    TEXT = "text_differs"
    """The text has a gap or a repetition, or belongs to another request."""
    IDS = "ids_differ"
    """The events of one stream have different ids."""
    UNFINISHED = "no_final_event"
    """The stream ended without an outcome event or the final `[DONE]`."""


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """A stream that was read to its end."""

    text: str
    tokens: int
    outcome: str
    """Empty if there was no outcome event."""
    reason: str
    fault: AnswerFault


def prompt_of(index: int, tokens: int) -> str:
    """Return a prompt whose answer is unique and has the given number of tokens."""
    return f"request {index} [tokens={tokens}]"


def read_stream(body: bytes, prompt: str, tokens: int) -> StreamedAnswer:
    """Parse a stream and compare it with the expected answer to a prompt.

    Args:
        body: Complete body of the response.
        prompt: Prompt of the request.
        tokens: Tokens in the complete answer.
    """
    texts: list[str] = []
    ids: set[str] = set()
    outcome: dict[str, Any] = {}
    done = False
    for block in body.split(b"\n\n"):
        name, _, data = block.rpartition(DATA)
        if data == DONE:
            done = True
        elif name.startswith(OUTCOME_EVENT):
            outcome = msgspec.json.decode(data)["error"]
        elif data.startswith(b"{"):
            event = msgspec.json.decode(data)
            ids.add(event["id"])
            texts.extend(choice["delta"].get("content", "") for choice in event["choices"])
    text = "".join(texts)
    completed = outcome.get("type") == "completed"
    expected = answer_text(prompt, tokens)
    fault = AnswerFault.NONE
    if not outcome or not done:
        fault = AnswerFault.UNFINISHED
    elif text != (expected if completed else expected[: len(text)]):
        fault = AnswerFault.TEXT
    elif len(ids) > 1:
        fault = AnswerFault.IDS
    count = sum(1 for each in texts if each)
    return StreamedAnswer(text, count, outcome.get("type", ""), outcome.get("code", ""), fault)
