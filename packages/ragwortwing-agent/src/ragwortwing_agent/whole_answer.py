"""Whole answers put together from a stream, so that they too can be preempted and resumed."""

from __future__ import annotations

from typing import Any

import msgspec

from .event_stream import EVENT_END, Usage

STREAMABLE_KEYS = frozenset(
    {
        "model",
        "messages",
        "max_tokens",
        "max_completion_tokens",
        "temperature",
        "top_p",
        "seed",
        "stop",
        "user",
        "stream",
        "presence_penalty",
        "frequency_penalty",
    }
)
"""Keys of a body whose answer is one text; any other may add what a text does not hold."""

_DATA = b"data: {"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []


_decoder = msgspec.json.Decoder(_Event)


def can_stream(body: dict[str, Any]) -> bool:
    """Return whether a whole answer to this body can be put together from a stream."""
    return body.keys() <= STREAMABLE_KEYS


def assemble(last_events: bytes, text: str, usage: Usage) -> bytes:
    """Return the whole answer to a chat completion.

    Args:
        last_events: The events that ended the stream.
        text: The whole text.
        usage: The engine's count.
    """
    events = [_read(line) for line in last_events.split(EVENT_END) if line.startswith(_DATA)]
    last = events[-1] if events else _Event()
    reasons = [choice.finish_reason for event in events for choice in event.choices]
    message = {"role": "assistant", "content": text}
    finish_reason = next((each for each in reversed(reasons) if each), "stop")
    answer = {
        "id": last.id,
        "object": "chat.completion",
        "created": last.created,
        "model": last.model,
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": usage.prompt_tokens_details.cached_tokens},
        },
    }
    return msgspec.json.encode(answer)


def _read(line: bytes) -> _Event:
    try:
        return _decoder.decode(line[len(_DATA) - 1 :])
    except msgspec.MsgspecError:
        return _Event()
