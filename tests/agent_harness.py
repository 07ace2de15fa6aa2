"""An agent in the test process, with real loopback sockets to a stand-in and to entries."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
import trio

from ragwortwing_agent.agent_app import AgentApp, new_agent_id
from ragwortwing_agent.backend_client import BackendClient
from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EngineStandIn, serve_engine
from ragwortwing_lab.standins.order_desk import OrderDeskStandIn, serve_order_desk
from ragwortwing_policy.configuration import Configuration, Preset, RequestClass
from ragwortwing_runtime.settings import AgentSettings
from ragwortwing_runtime.settings_reader import structure_settings
from ragwortwing_runtime.system_clock import SystemClock
from ragwortwing_wire.connection import Connection, open_connection
from ragwortwing_wire.messages import (
    Attach,
    Chunks,
    Credit,
    Detached,
    End,
    EntryHello,
    Granted,
    Header,
    Heartbeat,
    Refused,
    Reserve,
    ResponseHead,
    Submit,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ragwortwing_wire.messages import Message

MODEL = "cake-1"
LIMIT = 10.0
"""Seconds after which a hanging test fails; no test result depends on the value otherwise."""
WINDOW = 262_144

CONFIGURATION = Configuration(
    revision=1,
    preset="ordinary",
    classes_by_name={
        "chat": RequestClass("chat", tier=0),
        "draft": RequestClass(
            "draft",
            tier=4,
            first_token_target=timedelta(seconds=30),
            queue_limit=timedelta(seconds=60),
        ),
    },
    presets_by_name={"ordinary": Preset("ordinary")},
)


@dataclass
class StaticConfigurationFeed:
    """Configuration feed with one fixed configuration, available from the start."""

    current: Configuration | None = CONFIGURATION
    revision: int = 1

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()

    async def ready(self) -> Configuration:
        assert self.current is not None
        return self.current

    async def changed(self) -> Configuration:
        await trio.sleep_forever()
        raise AssertionError

    def records_from(self, offset: int) -> tuple[()]:
        return ()


@dataclass
class Answer:
    """The part of the response to one request that an entry has received."""

    granted: bool = False
    head: ResponseHead | None = None
    pieces: list[bytes] = field(default_factory=list)
    tokens: int = 0
    end: End | None = None
    refused: Refused | None = None
    detached: bool = False

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)

    @property
    def text(self) -> str:
        events = [e[6:] for e in self.body.split(b"\n\n") if e.startswith(b"data: {")]
        choices = [msgspec.json.decode(each)["choices"][0] for each in events]
        return "".join(each["delta"].get("content", "") for each in choices)


class TestEntry:
    """Entry side of an agent connection: sends the test's messages and records what it receives."""

    __test__ = False

    def __init__(self, connection: Connection, answers_by_id: dict[str, Answer]) -> None:
        self.connection = connection
        self.answers_by_id = answers_by_id
        self.heartbeats: list[Heartbeat] = []
        self.gives_credit = True
        self._changed = trio.Event()

    def answer(self, request_id: str) -> Answer:
        return self.answers_by_id.setdefault(request_id, Answer())

    async def read(self) -> None:
        async for message in self.connection:
            self._record(message)
            self._changed.set()
            self._changed = trio.Event()
            if isinstance(message, Chunks) and self.gives_credit:
                for chunk in message.chunks:
                    await self.credit(chunk.request_id)
        self._changed.set()

    def _record(self, message: Message) -> None:
        match message:
            case Granted(request_id):
                self.answer(request_id).granted = True
            case Refused(request_id):
                self.answer(request_id).refused = message
            case ResponseHead(request_id):
                self.answer(request_id).head = message
            case Chunks(chunks):
                for chunk in chunks:
                    answer = self.answer(chunk.request_id)
                    assert chunk.sequence == len(
                        answer.pieces
                    ), "chunks must arrive once and in order"
                    answer.pieces.append(chunk.data)
                    answer.tokens += chunk.tokens
            case End(request_id):
                self.answer(request_id).end = message
            case Detached(request_id):
                self.answer(request_id).detached = True
            case Heartbeat():
                self.heartbeats.append(message)

    async def credit(self, request_id: str, window: int = WINDOW) -> None:
        sequence = len(self.answer(request_id).pieces)
        await self.connection.send(Credit(request_id, sequence, window))

    async def until(self, condition: Callable[[], bool]) -> None:
        with trio.fail_after(LIMIT):
            while not condition():
                assert self.connection.closed is None, "connection closed while waiting"
                await self._changed.wait()

    async def reserve(self, request_id: str, **fields) -> None:
        values = {"request_class": "chat", "account": "acc", "target": MODEL}
        values |= {"remaining": timedelta(seconds=60)} | fields
        await self.connection.send(Reserve(request_id, **values))

    async def granted(self, request_id: str, **fields) -> None:
        await self.reserve(request_id, **fields)
        await self.until(lambda: self.answer(request_id).granted)

    async def chat(self, request_id: str, prompt: str, **fields) -> None:
        """Reserve, wait for the grant, and send a streamed chat."""
        window = fields.pop("window", WINDOW)
        resume_text = fields.pop("resume_text", "")
        await self.granted(request_id, **fields)
        await self.submit_chat(request_id, prompt, window, resume_text)

    async def submit_chat(
        self,
        request_id: str,
        prompt: str,
        window: int = WINDOW,
        resume_text: str = "",
        **body_fields,
    ) -> None:
        messages = [{"role": "user", "content": prompt}]
        body = {"model": MODEL, "stream": True, "messages": messages} | body_fields
        await self.connection.send(
            Submit(
                request_id,
                "POST",
                "/v1/chat/completions",
                (Header(b"content-type", b"application/json"),),
                msgspec.json.encode(body),
                resume_text=resume_text,
                window=window,
            )
        )

    async def withdraw(self, request_id: str) -> None:
        await self.connection.send(Withdraw(request_id))

    async def order(self, request_id: str, method: str = "POST", path: str = "/orders", **fields):
        """Reserve, wait for the grant, and send a request to the order desk."""
        await self.granted(request_id, **({"idempotent": method == "GET"} | fields))
        await self.connection.send(Submit(request_id, method, path, (), b"{}"))

    async def ended(self, request_id: str) -> Answer:
        await self.until(lambda: self.answer(request_id).end is not None)
        return self.answer(request_id)

    async def attach(self, request_id: str, account: str = "acc", window: int = WINDOW) -> None:
        sequence = len(self.answer(request_id).pieces)
        await self.connection.send(Attach(request_id, account, sequence, window))


@dataclass
class Bench:
    """A running agent with its backend stand-in, and a method to connect entries to it."""

    app: AgentApp
    wire: str
    nursery: trio.Nursery
    backend_scope: trio.CancelScope
    engine: EngineStandIn
    desk: OrderDeskStandIn
    exit_code: int | None = None

    @asynccontextmanager
    async def entry(
        self, answers_by_id: dict[str, Answer] | None = None, address: str = ""
    ) -> AsyncIterator[TestEntry]:
        host, port = (address or self.wire).rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        hello = EntryHello("entry-1/0", "suva", 1)
        async with open_connection(stream, SystemClock(), hello) as connection:
            entry = TestEntry(connection, {} if answers_by_id is None else answers_by_id)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.read)
                yield entry
                nursery.cancel_scope.cancel()

    def crash_backend(self) -> None:
        self.backend_scope.cancel()

    async def until(self, condition: Callable[[], bool]) -> None:
        with trio.fail_after(LIMIT):
            while not condition():
                await trio.sleep(0.005)


def agent_settings(backend: str, kind: str, **tables) -> AgentSettings:
    table = {
        "name": "agent-1",
        "zone": "suva",
        "listen": {"wire": "127.0.0.1:0", "http": "127.0.0.1:0"},
        "platform": {"log": "http://127.0.0.1:1"},
        "backend": {"address": backend, "kind": kind, "targets": [MODEL]},
    }
    table["backend"] |= tables.pop("backend_limits", {})
    for name, extra in tables.items():
        table[name] = table.get(name, {}) | extra
    settings = structure_settings(table, AgentSettings)
    assert isinstance(settings, AgentSettings), settings
    return settings


@asynccontextmanager
async def agent_bench(
    kind: str = "engine",
    engine: EngineSettings | None = None,
    orders=None,
    source=None,
    members=None,
    **tables,
) -> AsyncIterator[Bench]:
    """Run a backend stand-in and an agent in front of it."""
    engine_standin = EngineStandIn(engine or EngineSettings(step_seconds=0.002), (MODEL,))
    desk = OrderDeskStandIn(work_seconds=0.0)
    async with trio.open_nursery() as nursery:
        scope = trio.CancelScope()

        async def serve(task_status: trio.TaskStatus[str]) -> None:
            with scope:
                if kind == "engine":
                    await serve_engine(engine_standin, 0, task_status)
                else:
                    await serve_order_desk(desk, 0, task_status)

        backend = await nursery.start(serve)
        settings = agent_settings(backend, kind, **tables)
        client = BackendClient(settings.backend)
        source = source or StaticConfigurationFeed()
        agent_id = new_agent_id("agent-1")
        app = AgentApp(settings, client, source, members, orders, None, agent_id)
        wire: list[str] = []
        listen = app._listen

        async def listen_and_record() -> str:
            wire.append(await listen())
            return wire[0]

        app._listen = listen_and_record
        bench = Bench(app, "", nursery, scope, engine_standin, desk)

        async def run(task_status: trio.TaskStatus[None]) -> None:
            bench.exit_code = await app.run(task_status)

        await nursery.start(run)
        bench.wire = wire[0]
        yield bench
        nursery.cancel_scope.cancel()
