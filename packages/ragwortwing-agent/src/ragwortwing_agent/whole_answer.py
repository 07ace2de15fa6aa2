"""Assembles complete chat completions from a stream of events.

Requests without streaming are streamed from the engine as well where possible, so that they can be
preempted and resumed.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

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
"""Request keys with which the response is a single text.

Any other key may add to the response something that the text does not contain, such as
log probabilities.
"""

_JSON_DATA_PREFIX = b"data: {"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []


_decode = checked_decoder(msgspec.json.Decoder(_Event).decode)


def can_stream(body: dict[str, Any]) -> bool:
    """Return whether a complete response to this body can be assembled from a stream."""
    return body.keys() <= STREAMABLE_KEYS


def assemble(last_events: bytes, text: str, usage: Usage) -> bytes:
    """Return the body of a complete chat completion.

    Args:
        last_events: The events that ended the stream.
        text: The complete text.
        usage: Token counts that the engine reported.
    """
    events = [
        _decode_event(line)
        for line in last_events.split(EVENT_END)
        if line.startswith(_JSON_DATA_PREFIX)
    ]
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


def _decode_event(line: bytes) -> _Event:
    try:
        return _decode(line[len(_JSON_DATA_PREFIX) - 1 :])
    except InvalidDataError:
        return _Event()
