"""Checks an answer whole against the engine stand-in's deterministic text."""

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
    """What is wrong with an answer that claims to be whole."""

    NONE = ""
    TEXT = "text_differs"
    """A gap, a repeat or another request's text."""
    IDS = "ids_differ"
    """Events of one stream carry several ids."""
    UNFINISHED = "no_final_event"
    """The stream ended without its outcome."""


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """A stream read to its end."""

    text: str
    tokens: int
    outcome: str
    """Empty where no outcome came."""
    reason: str
    fault: AnswerFault


def prompt_of(index: int, tokens: int) -> str:
    """Return a prompt whose answer has exactly so many tokens and is like no other's."""
    return f"request {index} [tokens={tokens}]"


def read_stream(body: bytes, prompt: str, tokens: int) -> StreamedAnswer:
    """Check a stream against what the prompt's answer must be.

    Args:
        body: Every byte of the answer.
        prompt: The prompt.
        tokens: Tokens that the whole answer has.
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
    whole = answer_text(prompt, tokens)
    fault = AnswerFault.NONE
    if not outcome or not done:
        fault = AnswerFault.UNFINISHED
    elif text != (whole if completed else whole[: len(text)]):
        fault = AnswerFault.TEXT
    elif len(ids) > 1:
        fault = AnswerFault.IDS
    count = sum(1 for each in texts if each)
    return StreamedAnswer(text, count, outcome.get("type", ""), outcome.get("code", ""), fault)
