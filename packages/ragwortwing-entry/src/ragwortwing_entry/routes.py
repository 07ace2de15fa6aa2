"""Route table of the entry, filled by the `route` decorator."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .entry_app import EntryApp
    from .http_call import HttpCall

Handler = Callable[["EntryApp", "HttpCall"], Awaitable[None]]


class Audience(Enum):
    """Who may call a path. The listener that receives the call determines the audience."""

    CALLER = "caller"
    OPERATOR = "operator"


ALL_AUDIENCES = (Audience.CALLER, Audience.OPERATOR)

PATH_WILDCARD = "/*"
"""Wildcard suffix of a path, which matches any last segment."""

_handlers_by_path: dict[tuple[Audience, str], dict[str, Handler]] = {}


def route(
    method: str, path: str, audiences: tuple[Audience, ...] = ALL_AUDIENCES
) -> Callable[[Handler], Handler]:
    """Register the handler of a method and a path.

    Args:
        method: The HTTP method.
        path: The path; a final `/*` matches any single segment.
        audiences: Audiences that may call the route.
    """

    def register(handler: Handler) -> Handler:
        for audience in audiences:
            _handlers_by_path.setdefault((audience, path), {})[method] = handler
        return handler

    return register


def find_handlers(path: str, audience: Audience) -> Mapping[str, Handler] | None:
    """Return the handlers of a path by method, or None if the path is not registered."""
    exact = _handlers_by_path.get((audience, path))
    if exact is not None:
        return exact
    return _handlers_by_path.get((audience, path.rpartition("/")[0] + PATH_WILDCARD))
