"""Stand-in for a model engine: an OpenAI-compatible chat endpoint with simulated batching."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec
import trio

from .batching import Batcher, EngineSettings, Generation
from .faults import Fault, FaultKind, Faults, control_app
from .generation import answer_text, count_tokens, token_text
from .http_server import ConnectionCutError, Exchange, ResponseCut, serve_http
from .journal import Execution, Journal
from .serving import print_ready, start_app, stop_on_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CREATED = 1_767_225_600
"""Unix time in the `created` field; fixed, so that a resumed answer has the same value."""

CRASH_EXIT_CODE = 70
EVENT_STREAM = ((b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache"))
DONE = b"data: [DONE]\n\n"


class Message(msgspec.Struct):
    """One chat message."""

    role: str
    content: str


class Resume(msgspec.Struct):
    """The part of the answer that an earlier run of the same request generated."""

    text: str
    tokens: int = 0


class ChatBody(msgspec.Struct):
    """The fields of a chat request that the engine reads."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    priority: int = 0
    resume: Resume | None = None

    @property
    def prompt(self) -> str:
        """The text that determines the answer."""
        return "\n".join(each.content for each in self.messages)


class EngineOrder(msgspec.Struct):
    """An administrative order, for example to load a model."""

    kind: str
    target: str
    version: str = ""
    fencing_number: int = 0


class EngineStandIn:
    """The HTTP endpoints of the engine."""

    def __init__(
        self, settings: EngineSettings, models: tuple[str, ...], journal: Journal | None = None
    ) -> None:
        self._journal = journal or Journal()
        self.faults = Faults()
        self.cut: ResponseCut | None = None
        """Where the connection ends within a response; None sends responses as they are."""
        self.batcher = Batcher(settings, self.faults)
        self.models = list(models)
        self.orders: list[EngineOrder] = []
        self.on_crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE)
        self.control = control_app(self.faults, self.state, self.on_fault)
        self._highest_fencing_number = -1
        self._handlers_by_route: dict[tuple[str, str], Callable[[Exchange], Awaitable[None]]] = {
            ("POST", "/v1/chat/completions"): self.on_chat,
            ("GET", "/v1/models"): self.on_models,
            ("GET", "/load"): self.on_load,
            ("GET", "/cache/events"): self.on_cache_events,
            ("POST", "/admin/orders"): self.on_order,
        }

    def state(self) -> dict[str, object]:
        """Return the counters and current load that `GET /state` reports."""
        running, queued = self.batcher.present_load()
        return {
            "counts": dict(self.batcher.counts),
            "running": running,
            "queued": queued,
            "started_by_id": dict(self.batcher.started_by_id),
            "finished_by_id": dict(self.batcher.finished_by_id),
            "cancelled_by_id": dict(self.batcher.cancelled_by_id),
            "orders": [msgspec.to_builtins(each) for each in self.orders],
            "highest_fencing_number": self._highest_fencing_number,
        }

    def on_fault(self, fault: Fault) -> None:
        """Crash at once if the new fault is a crash."""
        if fault.kind is FaultKind.CRASH:
            self.on_crash()

    async def handle(self, exchange: Exchange) -> None:
        """Dispatch one HTTP request to its handler."""
        exchange.cut = self.cut
        request = exchange.request
        handler = self._handlers_by_route.get((request.method, request.path))
        if handler is None:
            await exchange.respond_json(404, {"error": {"code": "no_route"}})
            return
        await handler(exchange)

    async def on_chat(self, exchange: Exchange) -> None:
        """Handle a chat request."""
        try:
            body = msgspec.json.decode(exchange.request.body, type=ChatBody)
        except (msgspec.DecodeError, UnicodeDecodeError):
            await exchange.respond_json(400, {"error": {"code": "bad_body"}})
            return
        resume = body.resume or Resume("")
        resume_at = resume.tokens or count_tokens(resume.text)
        if body.model not in self.models:
            await exchange.respond_json(404, {"error": {"code": "model_not_loaded"}})
        elif resume.text != answer_text(body.prompt, resume_at):
            await exchange.respond_json(400, {"error": {"code": "resume_differs"}})
        else:
            await self._generate(exchange, body, resume_at)

    async def on_models(self, exchange: Exchange) -> None:
        """List the loaded models."""
        data = [{"id": each, "object": "model"} for each in self.models]
        await exchange.respond_json(200, {"object": "list", "data": data})

    async def on_load(self, exchange: Exchange) -> None:
        """Report the load as of `load_lag` seconds ago."""
        running, queued = self.batcher.reported_load()
        slots = self.batcher.settings.slots
        await exchange.respond_json(200, {"running": running, "queued": queued, "slots": slots})

    async def on_cache_events(self, exchange: Exchange) -> None:
        """List the published events of the prefix cache after a sequence number."""
        after = int(exchange.request.query.get("after", ["0"])[0])
        events = self.batcher.cache.events_after(after, trio.current_time())
        shown = [{"sequence": e.sequence, "kind": e.kind, "block": e.block} for e in events]
        await exchange.respond_json(200, {"events": shown})

    async def on_order(self, exchange: Exchange) -> None:
        """Accept an order, unless fencing is on and its fencing number is outdated."""
        try:
            order = msgspec.json.decode(exchange.request.body, type=EngineOrder)
        except msgspec.DecodeError:
            await exchange.respond_json(400, {"error": {"code": "bad_body"}})
            return
        if self.batcher.settings.fencing and order.fencing_number < self._highest_fencing_number:
            await exchange.respond_json(409, {"fencing_number": self._highest_fencing_number})
            return
        self._highest_fencing_number = max(self._highest_fencing_number, order.fencing_number)
        self.orders.append(order)
        if order.kind == "load_model" and order.target not in self.models:
            self.models.append(order.target)
        if self.faults.active(FaultKind.DROP_REPLIES):
            raise ConnectionCutError
        await exchange.respond_json(200, {})

    async def _generate(self, exchange: Exchange, body: ChatBody, resume_at: int) -> None:
        request_id = exchange.request.headers_by_name.get("x-request-id", "none")
        self._journal.append(Execution(request_id))
        generation = self.batcher.submit(
            request_id, body.prompt, body.priority, body.max_tokens, resume_at
        )
        try:
            if self.faults.active(FaultKind.DROP_REPLIES):
                await self._run_without_reply(generation)
            elif body.stream:
                await self._stream(exchange, generation, body.model, resume_at)
            else:
                await self._respond_whole(exchange, generation, body)
        finally:
            if not generation.is_done:
                self.batcher.cancel(generation)

    async def _run_without_reply(self, generation: Generation) -> None:
        while await generation.take():
            pass
        raise ConnectionCutError

    async def _stream(
        self, exchange: Exchange, generation: Generation, model: str, resume_at: int
    ) -> None:
        head = _event_head(generation.request_id, model)
        await exchange.start(200, EVENT_STREAM)
        if resume_at == 0:
            await exchange.write(
                head + b'{"role":"assistant","content":""},"finish_reason":null}]}\n\n'
            )
        while indices := await generation.take():
            data = b"".join(_token_event(head, generation.digest, index) for index in indices)
            if generation.is_done and not generation.ready:
                data += _last_events(head, generation)
            await exchange.write(data)
        if resume_at >= generation.end_index:
            await exchange.write(_last_events(head, generation))
        await exchange.finish()

    async def _respond_whole(
        self, exchange: Exchange, generation: Generation, body: ChatBody
    ) -> None:
        while await generation.take():
            pass
        answer = {
            "id": f"chatcmpl-{generation.request_id}",
            "object": "chat.completion",
            "created": CREATED,
            "model": body.model,
            "choices": [
                {
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": answer_text(body.prompt, generation.end_index),
                    },
                    "finish_reason": "stop",
                }
            ],
            "usage": _usage(generation),
        }
        await exchange.respond_json(200, answer)


def _event_head(request_id: str, model: str) -> bytes:
    return (
        f'data: {{"id":"chatcmpl-{request_id}","object":"chat.completion.chunk",'
        f'"created":{CREATED},"model":"{model}","choices":[{{"index":0,"delta":'
    ).encode()


def _token_event(head: bytes, digest: int, index: int) -> bytes:
    text = token_text(digest, index).encode()
    return head + b'{"content":"' + text + b'"},"finish_reason":null}]}\n\n'


def _last_events(head: bytes, generation: Generation) -> bytes:
    usage = msgspec.json.encode(_usage(generation))
    stop = head + b'{},"finish_reason":"stop"}],"usage":' + usage + b"}\n\n"
    return stop + DONE


def _usage(generation: Generation) -> dict[str, object]:
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.end_index,
        "total_tokens": generation.prompt_tokens + generation.end_index,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


async def serve_engine(
    engine: EngineStandIn,
    port: int = 0,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an engine until cancelled; reports its `ip:port` through `task_status`."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.batcher.run)
        address = await nursery.start(serve_http, engine.handle, engine.faults, port)
        task_status.started(address)


async def _run(engine: EngineStandIn, name: str, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        http = await nursery.start(serve_engine, engine, port)
        control = await start_app(nursery, engine.control, control_port)
        print_ready(name, {"http": http, "control": control})


DEFAULTS = EngineSettings()


@click.command("engine")
@click.option("--name", default="engine", show_default=True)
@click.option("--port", default=0, help="Port of the engine; 0 selects a free port.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--model", "models", multiple=True, default=("cake-1",), show_default=True)
@click.option("--slots", default=DEFAULTS.slots, show_default=True)
@click.option("--step-seconds", default=DEFAULTS.step_seconds, show_default=True)
@click.option("--batch-growth", default=DEFAULTS.batch_growth, show_default=True)
@click.option("--prefill-seconds", default=DEFAULTS.prefill_seconds, show_default=True)
@click.option("--cache-blocks", default=DEFAULTS.cache_blocks, show_default=True)
@click.option("--load-lag", default=DEFAULTS.load_lag, show_default=True)
@click.option("--cache-event-lag", default=DEFAULTS.cache_event_lag, show_default=True)
@click.option("--cache-event-gap", default=DEFAULTS.cache_event_gap, show_default=True)
@click.option("--fencing/--no-fencing", default=DEFAULTS.fencing, show_default=True)
@click.option(
    "--journal", type=click.Path(path_type=Path), help="File that executions are appended to."
)
def engine_command(
    name: str,
    port: int,
    control_port: int,
    models: tuple[str, ...],
    slots: int,
    step_seconds: float,
    batch_growth: float,
    prefill_seconds: float,
    cache_blocks: int,
    load_lag: float,
    cache_event_lag: float,
    cache_event_gap: int,
    fencing: bool,
    journal: Path | None,
) -> None:
    """Run the stand-in for a model engine."""
    settings = EngineSettings(
        slots=slots,
        step_seconds=step_seconds,
        batch_growth=batch_growth,
        prefill_seconds=prefill_seconds,
        cache_blocks=cache_blocks,
        load_lag=load_lag,
        cache_event_lag=cache_event_lag,
        cache_event_gap=cache_event_gap,
        fencing=fencing,
    )
    trio.run(_run, EngineStandIn(settings, models, Journal(journal)), name, port, control_port)
