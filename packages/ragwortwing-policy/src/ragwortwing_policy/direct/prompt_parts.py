"""The parts of a prompt, and what an engine is believed to keep of them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

LONG_PROMPT_TOKENS = 2_000
"""Prompts from here on are long where no pause targets tell streams apart: their reading is a
noticeable pause in every stream."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A stretch of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of an engine."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    """Most tokens that the answer may have."""
    bears_reading: bool | None = None
    """Whether its stream stands more reading beside it than others on its engines do; None where
    that is not told, and the prompt's length decides."""

    @property
    def memory_tokens(self) -> int:
        """Tokens that the request takes of an engine's KV cache at its end."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Whether it belongs with the prompts that are read beside one another.

        Streams with the shortest pause target keep to engines where little is read. Where all have
        the same, those whose reading is a noticeable pause keep away from the others.
        """
        if self.bears_reading is not None:
            return self.bears_reading
        return self.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def session(self) -> str:
        """Id by which requests with the same longest shared beginning are brought together."""
        shared = self.parts[:-1] or self.parts
        return shared[-1].id if shared else ""


class PartCache:
    """Parts that an engine is believed to keep: the least recently used yield.

    A part is kept from the moment a prompt with it is sent there: what comes behind it on that
    engine finds it read. Another engine can fetch it only once it has been read; one that tries
    earlier gets nothing and reads all of it as well.

    Example:
        >>> cache = PartCache(capacity_tokens=100)
        >>> a, b = PromptPart("a", 60), PromptPart("b", 30)
        >>> cache.use((a, b))
        >>> cache.kept_tokens((a, b, PromptPart("c", 10)))
        90
        >>> cache.use((PromptPart("d", 50),))
        >>> cache.kept_tokens((a, b))
        0
        >>> d = PromptPart("d", 50)
        >>> cache.read_tokens((d,))
        0
        >>> cache.read((d,))
        >>> cache.read_tokens((d,))
        50
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._unread: set[str] = set()
        self._total = 0

    def kept_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens that need not be read: a part counts if all before it are kept."""
        kept = 0
        for part in parts:
            if part.id not in self._tokens_by_part:
                break
            kept += part.tokens
        return kept

    def read_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens that have been read, so that another engine can fetch them."""
        read = 0
        for part in parts:
            if part.id not in self._tokens_by_part or part.id in self._unread:
                break
            read += part.tokens
        return read

    def read(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that an engine has read these parts."""
        self.use(parts)
        self._unread.difference_update(part.id for part in parts)

    def drop_unread(self, parts: tuple[PromptPart, ...]) -> None:
        """Forget those of some parts that were to be read by a request that has ended early."""
        for part in parts:
            if part.id in self._unread:
                self._unread.discard(part.id)
                self._total -= self._tokens_by_part.pop(part.id)

    def use(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that a prompt with these parts is sent to the engine."""
        for part in parts:
            if part.id not in self._tokens_by_part:
                self._unread.add(part.id)
            self._total += part.tokens - self._tokens_by_part.pop(part.id, 0)
            self._tokens_by_part[part.id] = part.tokens
        while self._total > self._capacity and self._tokens_by_part:
            part_id, tokens = self._tokens_by_part.popitem(last=False)
            self._unread.discard(part_id)
            self._total -= tokens

    def clear(self) -> None:
        """Forget everything: the engine has started anew."""
        self._tokens_by_part.clear()
        self._unread.clear()
        self._total = 0
