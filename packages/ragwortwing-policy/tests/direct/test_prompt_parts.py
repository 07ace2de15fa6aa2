"""Tests of what is remembered of the parts of prompts."""

from __future__ import annotations

from ragwortwing_policy.direct.prompt_parts import MIN_CACHED_TOKENS, PartCache, PromptPart

CAPACITY = 100_000


def test_parts_without_tokens_are_forgotten() -> None:
    """Guards against prompts of new parts without tokens that fill the memory of an entry."""
    cache = PartCache(CAPACITY)
    for number in range(10_000):
        cache.use((PromptPart(f"p-{number}", 0), PromptPart(f"q-{number}", 1)))
    assert len(cache) <= CAPACITY // MIN_CACHED_TOKENS
    assert cache.kept_tokens((PromptPart("q-9999", 1),)) == 1


def test_used_and_dropped_parts_leave_room() -> None:
    """Guards against a cache whose size is counted otherwise when a part is added and removed."""
    cache = PartCache(CAPACITY)
    small = tuple(PromptPart(f"s-{number}", number) for number in range(100))
    for _ in range(1000):
        cache.use(small)
        cache.drop_unread(small)
    assert len(cache) == 0
    large = (PromptPart("large", CAPACITY),)
    cache.use(large)
    assert cache.kept_tokens(large) == CAPACITY
