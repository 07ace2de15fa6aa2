"""Builders of engines and prompts for the tests of the direct entry's policy."""

from __future__ import annotations

from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.routing_table import EngineTraits

TRAITS = EngineTraits(slots=8, memory_tokens=100_000, tokens_per_event=5)


def engines(count: int) -> list[BackendServer]:
    return [
        BackendServer(f"i-{number}", "engines", f"127.0.0.1:{number}", "suva", TRAITS.slots)
        for number in range(count)
    ]


def prompt(tokens: int, session: str = "s", output: int = 50, own: str = "own") -> Prompt:
    shared = min(tokens - 1, 100)
    parts = (PromptPart(session, shared), PromptPart(f"{session}-{own}", tokens - shared))
    return Prompt("m", parts, tokens, output)
