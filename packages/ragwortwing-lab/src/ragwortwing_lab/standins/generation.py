"""The engine stand-in's answers: a function of the prompt, so that a test can check them whole."""

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

SHORTEST_ANSWER = 8
LONGEST_ANSWER = 400

LENGTH_MARK = "[tokens="
"""A prompt that contains `[tokens=N]` has an answer of exactly N tokens."""


def prompt_digest(prompt: str) -> int:
    """Return the number that the answer is a function of."""
    return xxh64_intdigest(prompt.encode())


def token_text(digest: int, index: int) -> str:
    """Return one token of an answer: a space and a word."""
    return " " + WORDS[xxh32_intdigest(index.to_bytes(4, "big"), digest & 0xFFFF_FFFF) % len(WORDS)]


def answer_text(prompt: str, tokens: int) -> str:
    """Return the first tokens of a prompt's answer as one text.

    Example:
        >>> answer_text("hello", 2).startswith(answer_text("hello", 1))
        True
    """
    digest = prompt_digest(prompt)
    return "".join(token_text(digest, index) for index in range(tokens))


def count_tokens(text: str) -> int:
    """Return how many tokens of ours a text has."""
    return text.count(" ")


def answer_length(prompt: str, limit: int | None) -> int:
    """Return how many tokens a prompt's answer has.

    Example:
        >>> answer_length("a menu [tokens=12]", None), answer_length("a menu [tokens=12]", 5)
        (12, 5)
    """
    _, mark, rest = prompt.partition(LENGTH_MARK)
    if mark:
        length = int(rest.partition("]")[0])
    else:
        span = LONGEST_ANSWER - SHORTEST_ANSWER
        # Squared, so that short answers are common and long ones are rare.
        length = SHORTEST_ANSWER + int(span * (prompt_digest(prompt) % 1000 / 1000) ** 2)
    return length if limit is None else min(length, limit)
