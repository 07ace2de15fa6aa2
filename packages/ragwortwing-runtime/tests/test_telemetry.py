"""Tests of telemetry: metrics on scrape, export of spans without threads, trace propagation."""

from __future__ import annotations

import threading
from dataclasses import replace
from typing import TYPE_CHECKING

import h11
import pytest
import trio
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest
from opentelemetry.trace import SpanKind

from ragwortwing_runtime.settings import TelemetrySettings
from ragwortwing_runtime.settings_reader import Address, HttpUrl
from ragwortwing_runtime.telemetry import Telemetry, trace_id_of, traceparent_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Collector:
    """Minimal OTLP/HTTP collector that stores the batches it receives."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1", 0)
        self.status = 200
        self.batches: list[ExportTraceServiceRequest] = []

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = Address(*listeners[0].socket.getsockname())
        task_status.started()
        await trio.serve_listeners(self._answer, listeners)

    async def _answer(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
        self.batches.append(ExportTraceServiceRequest.FromString(body))
        head = h11.Response(status_code=self.status, headers=[("content-length", "0")])
        await stream.send_all(connection.send(head) + connection.send(h11.EndOfMessage()))


@pytest.fixture
async def collector(nursery: trio.Nursery) -> AsyncIterator[Collector]:
    collector = Collector()
    await nursery.start(collector.serve)
    yield collector
    nursery.cancel_scope.cancel()


def make_telemetry(collector: Collector | None = None) -> Telemetry:
    settings = TelemetrySettings(span_buffer=3)
    if collector is not None:
        settings = replace(settings, collector=HttpUrl(collector.address))
    return Telemetry("ragwortwing", "entry-1", "suva", settings)


async def test_spans_reach_the_collector(collector: Collector) -> None:
    sender = make_telemetry(collector)
    with sender.span("first", SpanKind.SERVER) as span:
        pass
    await sender.flush()
    (batch,) = collector.batches
    (resource,) = batch.resource_spans
    (sent,) = resource.scope_spans[0].spans
    assert sent.name == "first"
    assert sent.trace_id.hex() == trace_id_of(span)
    assert len(sender.spans) == 0


async def test_spans_are_dropped_without_an_error_while_the_collector_is_down() -> None:
    stopped_collector = Collector()
    stopped_collector.address = Address("127.0.0.1", 1)
    sender = make_telemetry(stopped_collector)
    with sender.span("lost", SpanKind.SERVER):
        pass
    await sender.flush()
    assert len(sender.spans) == 0


def test_the_trace_is_propagated_between_processes() -> None:
    entry, agent = make_telemetry(), make_telemetry()
    first = entry.start_span("entry", SpanKind.SERVER)
    second = agent.start_span("agent", SpanKind.CLIENT, traceparent_of(first))
    second.end()
    assert trace_id_of(first) == trace_id_of(second)
    (sent,) = agent.spans.take()
    assert sent.parent is not None
    assert sent.parent.span_id == first.get_span_context().span_id


def test_unsent_spans_are_bounded_and_no_thread_is_started() -> None:
    sender = make_telemetry()
    for number in range(5):
        with sender.span(f"span {number}", SpanKind.SERVER):
            pass
    assert [each.name for each in sender.spans.take()] == ["span 2", "span 3", "span 4"]
    assert [each for each in threading.enumerate() if "Otel" in each.name] == []


def test_metrics_are_collected_on_scrape() -> None:
    sender = make_telemetry()
    counter = sender.meter.create_counter("calls")
    counter.add(2, {"class": "chat"})
    assert b'calls_total{class="chat"} 2.0' in sender.metrics_text()
