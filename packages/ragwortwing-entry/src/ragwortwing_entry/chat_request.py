"""Validates the body of a chat completion; unknown keys are passed through unchecked."""

from __future__ import annotations

from typing import Any

import msgspec
from xxhash import xxh64_intdigest

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

from .caller_faults import CallerFault, CallerFaultCode

PREFIX_LENGTH = 512
"""Number of leading characters of the prompt that enter the hash for cache affinity."""

CHARACTERS_PER_TOKEN = 4
"""Approximate length of a token, for estimates before the engine reports a count."""


class ContentPart(msgspec.Struct, frozen=True):
    """One part of the content of a message."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str | list[ContentPart] | None = None

    @property
    def text(self) -> str:
        """The content as plain text."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class ChatRequest(msgspec.Struct, frozen=True):
    """The keys of a chat completion body that the system reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: Any = msgspec.UNSET
    """Reserved: the system sets it from the request class."""
    resume: Any = msgspec.UNSET
    """Reserved: the system sets it to resume an interrupted answer."""

    @property
    def expected_tokens(self) -> int:
        """Maximum length of the answer that the caller requested, 0 if not specified."""
        return max(0, self.max_completion_tokens or self.max_tokens or 0)

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens."""
        return sum(len(message.text) for message in self.messages) // CHARACTERS_PER_TOKEN + 1

    @property
    def prefix_hash(self) -> int:
        """Hash of the model and the start of the prompt, for cache affinity."""
        prefix = ""
        for message in self.messages:
            prefix += f"{message.role}\n{message.text}\n"
            if len(prefix) >= PREFIX_LENGTH:
                break
        return xxh64_intdigest(f"{self.model}\n{prefix[:PREFIX_LENGTH]}".encode())


_decode = checked_decoder(msgspec.json.Decoder(ChatRequest).decode)


def read_chat_request(body: bytes) -> ChatRequest | CallerFault:
    """Decode and validate the body of a chat completion.

    Args:
        body: The complete request body.
    """
    try:
        request = _decode(body)
    except InvalidDataError as error:
        is_valid_json = isinstance(error.__cause__, msgspec.ValidationError)
        code = CallerFaultCode.INVALID_BODY if is_valid_json else CallerFaultCode.MALFORMED_JSON
        return CallerFault(code, error.cause)
    if not request.messages:
        return CallerFault(CallerFaultCode.INVALID_BODY, "messages is empty")
    for key in ("priority", "resume"):
        if getattr(request, key) is not msgspec.UNSET:
            return CallerFault(CallerFaultCode.RESERVED_KEY, f"the key {key!r} may not be sent")
    return request
