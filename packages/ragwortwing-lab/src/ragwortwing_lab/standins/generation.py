"""Answers of the engine stand-in.

An answer depends only on the prompt, so that a test can verify the complete text.
"""

from __future__ import annotations

from xxhash import xxh32_intdigest, xxh64_intdigest

WORDS = (
    "cake",
    "lagoon",
    "ginger",
    "mango",
    "order",
    "candle",
    "tier",
    "wedding",
    "cream",
    "vanilla",
    "sugar",
    "flour",
    "oven",
    "ribbon",
    "index",
    "fund",
    "yield",
    "quarter",
    "ledger",
    "desk",
    "price",
    "return",
    "basket",
    "weight",
    "month",
    "region",
    "sales",
    "report",
    "north",
    "south",
    "harbour",
    "palm",
)

MIN_ANSWER_TOKENS = 8
MAX_ANSWER_TOKENS = 400

LENGTH_MARKER = "[tokens="
"""A prompt that contains `[tokens=N]` has an answer of exactly N tokens."""


def prompt_digest(prompt: str) -> int:
    """Return a hash of the prompt, which determines the answer."""
    return xxh64_intdigest(prompt.encode())


def token_text(digest: int, index: int) -> str:
    """Return one token of an answer: a space followed by a word."""
    return " " + WORDS[xxh32_intdigest(index.to_bytes(4, "big"), digest & 0xFFFF_FFFF) % len(WORDS)]


def answer_text(prompt: str, tokens: int) -> str:
    """Return the first tokens of the answer to a prompt, joined to one text.

    Example:
        >>> answer_text("hello", 2).startswith(answer_text("hello", 1))
        True
    """
    digest = prompt_digest(prompt)
    return "".join(token_text(digest, index) for index in range(tokens))


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text of an answer."""
    return text.count(" ")


def answer_length(prompt: str, limit: int | None) -> int:
    """Return the number of tokens in the answer to a prompt.

    Example:
        >>> answer_length("a menu [tokens=12]", None), answer_length("a menu [tokens=12]", 5)
        (12, 5)
    """
    _, marker, rest = prompt.partition(LENGTH_MARKER)
    if marker:
        length = int(rest.partition("]")[0])
    else:
        span = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS
        # Squaring makes short answers common and long ones rare.
        length = MIN_ANSWER_TOKENS + int(span * (prompt_digest(prompt) % 1000 / 1000) ** 2)
    return length if limit is None else min(length, limit)
