"""The parts of a prompt, and an estimate of which parts an engine has cached."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

LONG_PROMPT_TOKENS = 2_000
"""Length from which a prompt counts as long where pause targets do not distinguish streams. Its
prefill causes a noticeable pause in every other stream on the engine."""


MIN_CACHED_TOKENS = 64
"""Tokens that a smaller part counts with, so that the number of remembered parts is bounded too."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that several requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The model, prompt and answer size of a request."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    """Maximum number of tokens in the answer."""
    bears_reading: bool | None = None
    """Whether the request's stream tolerates more prefill on its engine than the most sensitive
    streams do. None if unknown; the prompt's length then decides."""

    @property
    def memory_tokens(self) -> int:
        """Tokens of KV cache that the request occupies when it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Whether the request is placed on the engines for long prompts.

        Streams with the shortest pause target go to engines with little prefill. If all streams
        have the same target, prompts whose prefill causes a noticeable pause are kept apart from
        the others.
        """
        if self.bears_reading is not None:
            return self.bears_reading
        return self.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def session(self) -> str:
        """Id that groups requests with the same longest shared prefix."""
        shared = self.parts[:-1] or self.parts
        return shared[-1].id if shared else ""


class PartCache:
    """Estimates which prompt parts an engine has cached, with least-recently-used eviction.

    A part counts as cached as soon as a prompt with it is sent to the engine: later prompts on
    that engine find it already read. Another engine can fetch the part only after it has been
    read. A fetch before that returns nothing, and the other engine has to read the whole part as
    well.

    Example:
        >>> cache = PartCache(capacity_tokens=1000)
        >>> a, b = PromptPart("a", 600), PromptPart("b", 300)
        >>> cache.use((a, b))
        >>> cache.kept_tokens((a, b, PromptPart("c", 100)))
        900
        >>> cache.use((PromptPart("d", 500),))
        >>> cache.kept_tokens((a, b))
        0
        >>> d = PromptPart("d", 500)
        >>> cache.read_tokens((d,))
        0
        >>> cache.read((d,))
        >>> cache.read_tokens((d,))
        500
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._unread: set[str] = set()
        self._total = 0

    def __len__(self) -> int:
        """Return the number of parts that are remembered."""
        return len(self._tokens_by_part)

    def kept_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the cached tokens: a part counts only if all parts before it are cached."""
        kept = 0
        for part in parts:
            if part.id not in self._tokens_by_part:
                break
            kept += part.tokens
        return kept

    def read_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens that have been read and can be fetched by another engine."""
        read = 0
        for part in parts:
            if part.id not in self._tokens_by_part or part.id in self._unread:
                break
            read += part.tokens
        return read

    def read(self, parts: tuple[PromptPart, ...]) -> None:
        """Record that the engine has read these parts."""
        self.use(parts)
        self._unread.difference_update(part.id for part in parts)

    def drop_unread(self, parts: tuple[PromptPart, ...]) -> None:
        """Remove the parts among these that were never read because their request ended early."""
        for part in parts:
            if part.id in self._unread:
                self._unread.discard(part.id)
                self._total -= _size(self._tokens_by_part.pop(part.id))

    def use(self, parts: tuple[PromptPart, ...]) -> None:
        """Record that a prompt with these parts is sent to the engine."""
        for part in parts:
            if part.id not in self._tokens_by_part:
                self._unread.add(part.id)
            before = self._tokens_by_part.pop(part.id, None)
            self._total += _size(part.tokens) - (0 if before is None else _size(before))
            self._tokens_by_part[part.id] = part.tokens
        while self._total > self._capacity and self._tokens_by_part:
            part_id, tokens = self._tokens_by_part.popitem(last=False)
            self._unread.discard(part_id)
            self._total -= _size(tokens)

    def clear(self) -> None:
        """Remove all parts, because the engine has restarted."""
        self._tokens_by_part.clear()
        self._unread.clear()
        self._total = 0


def _size(tokens: int) -> int:
    return max(tokens, MIN_CACHED_TOKENS)
