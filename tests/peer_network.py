"""Stand-in for the datagrams between entries: a network that drops chosen messages."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import trio

Drop = Callable[[str, Any], bool]


class TrioClock:
    def monotonic(self) -> float:
        return trio.current_time()

    def utc_now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC)


class FakeLink:
    """Stands in for the PeerLink of one entry; the host of an address is the peer's name."""

    def __init__(self, name: str, links_by_name: dict[str, FakeLink], network: Network) -> None:
        self.name = name
        self._links_by_name = links_by_name
        self._network = network
        self._handler: Callable[[Any, Any], None] = lambda *_: None

    def on_message(self, handler: Callable[[Any, Any], None], _: Callable[[], bool]) -> None:
        self._handler = handler

    def on_status(self, handler: Callable[[Any], None]) -> None:
        pass

    def broadcast(self, message: Any) -> None:
        for peer in self.members:
            self.send(message, peer)

    @property
    def members(self) -> frozenset[str]:
        return frozenset(self._links_by_name) - {self.name}

    def wake(self) -> None:
        pass

    def knows(self, peer: str) -> bool:
        return peer in self._links_by_name

    def send(self, message: Any, peer: str) -> None:
        self.send_to(message, (peer, 0))

    def send_to(self, message: Any, address: tuple[str, int]) -> None:
        self._network.sent.append((self.name, message))
        if not self._network.drop(self.name, message):
            receiver = self._links_by_name[address[0]]
            self._network.deliver(receiver, message, (self.name, 0))

    def receive(self, message: Any, address: tuple[str, int]) -> None:
        self._handler(message, address)


class Network:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.drop: Drop = lambda *_: False
        self.sent: list[tuple[str, Any]] = []
        self._nursery = nursery

    def deliver(self, receiver: FakeLink, message: Any, address: tuple[str, int]) -> None:
        async def later() -> None:
            await trio.sleep(0.001)
            receiver.receive(message, address)

        self._nursery.start_soon(later)

    def count(self, sender: str, kind: type) -> int:
        return sum(name == sender and isinstance(message, kind) for name, message in self.sent)
