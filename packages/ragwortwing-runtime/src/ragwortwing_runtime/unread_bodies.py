"""Discards request bodies that an ASGI application answers without having read them.

Hypercorn queues the parts of a body for the application and waits while the queue is full. At the
end of a response it queues the end of the request too: if nobody reads, the application waits for
itself, and its connection stays open for good, also after the client has left.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


def discards_unread_bodies(application: Application) -> Application:
    """Return an application whose unread request bodies are discarded from its answer on."""

    async def serve(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
            return
        is_received = False

        async def receive_part() -> dict[str, Any]:
            nonlocal is_received
            message = await receive()
            is_received = is_received or not message.get("more_body", False)
            return message

        async def discard() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass

        async with trio.open_nursery() as nursery:

            async def send_part(message: dict[str, Any]) -> None:
                if message["type"] == "http.response.start" and not is_received:
                    nursery.start_soon(discard)
                await send(message)

            await application(scope, receive_part, send_part)
            nursery.cancel_scope.cancel()

    return serve
