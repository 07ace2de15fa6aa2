"""Test harness: an entry in the test's event loop, with fakes for feeds and agents."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TYPE_CHECKING, Any, TypeVar

import httpcore
import msgspec
import trio

from ragwortwing_entry.accounts import hash_api_key
from ragwortwing_entry.entry_app import EntryApp
from ragwortwing_policy.configuration import (
    ClassOverride,
    ClientAccount,
    Configuration,
    Model,
    Preset,
    RequestClass,
    Service,
    ServiceRoute,
)
from ragwortwing_policy.configuration_log import ConfigurationLogState
from ragwortwing_policy.outcomes import Completed, Outcome
from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.members import Member, MemberRole, Members, MemberState
from ragwortwing_runtime.settings import EntrySettings
from ragwortwing_runtime.settings_reader import structure_settings
from ragwortwing_runtime.system_clock import SystemClock
from ragwortwing_wire.connection import Connection, open_connection
from ragwortwing_wire.messages import (
    AgentHello,
    Chunk,
    Chunks,
    End,
    Granted,
    Heartbeat,
    Reserve,
    ResponseHead,
    Submit,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ragwortwing_wire.messages import Message

MessageT = TypeVar("MessageT")

KEY = b"suva-key"
AUTHORIZED = {"authorization": "Bearer suva-key", "content-type": "application/json"}
CHAT = {"model": "writer", "messages": [{"role": "user", "content": "Bula"}], "stream": True}
CHAT_PATH = "/v1/chat/completions"

CONFIGURATION = Configuration(
    revision=3,
    preset="ordinary",
    classes_by_name={
        "chat": RequestClass("chat", tier=0, deadline=timedelta(seconds=20)),
        "draft": RequestClass("draft", tier=4),
        "order": RequestClass("order", tier=0, deadline=timedelta(seconds=20)),
    },
    accounts_by_name={
        "suva": ClientAccount("suva", (hash_api_key(KEY),), ("chat", "order")),
        "nadi": ClientAccount("nadi", (hash_api_key(b"nadi-key"),), ("chat",)),
    },
    models_by_name={"writer": Model("writer")},
    services_by_name={
        "desk": Service(
            "desk",
            "/desk",
            (
                ServiceRoute("POST", "/orders", False, "order"),
                ServiceRoute("GET", "/orders/*", True, "order"),
            ),
        )
    },
    presets_by_name={
        "ordinary": Preset("ordinary"),
        "maintenance": Preset("maintenance", {"chat": ClassOverride(admitted=False)}),
    },
)


@dataclass
class FakeConfigurationFeed:
    """Configuration feed whose content the test sets."""

    current: Configuration | None = CONFIGURATION
    state: ConfigurationLogState = field(default_factory=ConfigurationLogState)
    records: tuple[Any, ...] = ()
    taken: list[Any] = field(default_factory=list)

    def records_from(self, offset: int) -> tuple[Any, ...]:
        return tuple(each for each in self.records if each.offset >= offset)

    def apply_peer_records(self, records: Any) -> bool:
        self.taken.extend(records)
        return True

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()


class FakeMembershipFeed:
    """Membership feed whose content the test sets."""

    def __init__(self) -> None:
        self.current = Members(0, {})
        self.announced: list[Member] = []
        self.left = False
        self._changed = trio.Event()

    def set(self, *members: Member) -> None:
        self.current = Members(self.current.version + 1, {each.name: each for each in members})
        self._changed.set()
        self._changed = trio.Event()

    async def changed(self) -> Members:
        await self._changed.wait()
        return self.current

    def announce(self, member: Member) -> None:
        self.announced.append(member)

    async def leave(self) -> None:
        self.left = True

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()


class FakeAgent:
    """Agent side of a connection, controlled by the test."""

    def __init__(self, name: str, kind: BackendKind, target: str) -> None:
        self.hello = AgentHello(f"{name}/1", "suva", kind, (target,), revision=3)
        self.connection: Connection | None = None
        self.connections = 0
        self.address = ""
        self._send_channel, self._receive_channel = trio.open_memory_channel[Any](1_000)
        self._seen: list[Any] = []

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._talk, listeners)

    async def next(self, message_type: type[MessageT]) -> MessageT:
        """Return the next message of a type; keep other messages for later calls."""
        with trio.fail_after(5):
            while True:
                for index, seen in enumerate(self._seen):
                    if isinstance(seen, message_type):
                        return self._seen.pop(index)
                self._seen.append(await self._receive_channel.receive())

    async def send(self, message: Message) -> None:
        assert self.connection is not None
        await self.connection.send(message)

    async def grant(self) -> Submit:
        """Grant the next reservation and return the request submitted for it."""
        reserve = await self.next(Reserve)
        await self.send(Granted(reserve.request_id, timedelta(seconds=1)))
        return await self.next(Submit)

    async def chunk(self, request_id: str, sequence: int, data: bytes, tokens: int = 1) -> None:
        await self.send(Chunks((Chunk(request_id, sequence, data, tokens),)))

    async def answer(
        self, request_id: str, data: bytes, status: int = 200, outcome: Outcome | None = None
    ) -> None:
        """Send a complete response."""
        await self.send(ResponseHead(request_id, status, ()))
        await self.chunk(request_id, 0, data)
        await self.send(End(request_id, 1, outcome or Completed(1)))

    async def cut(self) -> None:
        """Close the connection abruptly."""
        assert self.connection is not None
        await self.connection.close()

    def member(self, state: MemberState = MemberState.LIVE) -> Member:
        return Member(self.hello.agent_id, self.address, "suva", MemberRole.AGENT, state)

    async def _talk(self, stream: trio.SocketStream) -> None:
        async with open_connection(stream, SystemClock(), self.hello) as connection:
            self.connection = connection
            self.connections += 1
            async for message in connection:
                if not isinstance(message, Heartbeat):
                    await self._send_channel.send(message)


@dataclass(frozen=True)
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return msgspec.json.decode(self.body)


class Bench:
    """A running entry and an HTTP client for it."""

    def __init__(self, app: EntryApp, feed: FakeConfigurationFeed, members: FakeMembershipFeed):
        self.app = app
        self.feed = feed
        self.members = members
        self.listen: dict[str, str] = {}
        self.exit_code: int | None = None
        self.http = httpcore.AsyncConnectionPool(max_connections=100)

    def url(self, path: str, listener: str = "http") -> str:
        return f"http://{self.listen[listener]}{path}"

    async def call(
        self,
        method: str,
        path: str,
        body: Any = b"",
        headers: dict[str, str] | None = None,
        listener: str = "http",
    ) -> HttpAnswer:
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        sent = AUTHORIZED if headers is None else headers
        response = await self.http.request(
            method, self.url(path, listener), headers=sent, content=content
        )
        names = {name.decode().lower(): value.decode() for name, value in response.headers}
        return HttpAnswer(response.status, names, response.content)

    @asynccontextmanager
    async def stream(self, body: Any = None) -> AsyncIterator[AsyncIterator[bytes]]:
        content = msgspec.json.encode(CHAT if body is None else body)
        async with self.http.stream(
            "POST", self.url(CHAT_PATH), headers=AUTHORIZED, content=content
        ) as response:
            assert response.status == 200
            yield response.aiter_stream()

    async def wait_until(self, condition: Any) -> None:
        with trio.fail_after(5):
            while not condition():  # noqa: ASYNC110 - the app has no event for these conditions
                await trio.sleep(0.002)

    async def add_agent(
        self, name: str, kind: BackendKind = BackendKind.ENGINE, target: str = "writer"
    ) -> FakeAgent:
        agent = FakeAgent(name, kind, target)
        await self.app.nursery.start(agent.serve)
        self.members.set(*self.members.current.by_name.values(), agent.member())
        await self.wait_until(lambda: agent.hello.agent_id in self.app.pool.agents_by_id)
        return agent


SETTINGS = structure_settings(
    {
        "name": "entry-1",
        "zone": "suva",
        "listen": {"http": "127.0.0.1:0"},
        "platform": {"log": "http://127.0.0.1:1"},
        "requests": {
            "body_bytes": 10_000,
            "header_bytes": 4_096,
            "keep_alive_interval": "20ms",
        },
    },
    EntrySettings,
)


@asynccontextmanager
async def running_entry(**changes: Any) -> AsyncIterator[Bench]:
    """Run an entry whose default settings are overridden by `changes`."""
    assert isinstance(SETTINGS, EntrySettings)
    feed, members = FakeConfigurationFeed(), FakeMembershipFeed()
    app = EntryApp(replace(SETTINGS, **changes), feed, members)
    bench = Bench(app, feed, members)
    async with trio.open_nursery() as nursery:
        mount = app.mount

        async def mount_and_record() -> Any:
            bench.listen = dict(await mount())
            return bench.listen

        async def run_and_record(task_status: trio.TaskStatus[None]) -> None:
            bench.exit_code = await app.run(task_status)

        app.mount = mount_and_record  # type: ignore[method-assign]
        await nursery.start(run_and_record)
        try:
            yield bench
        finally:
            await bench.http.aclose()
            nursery.cancel_scope.cancel()
