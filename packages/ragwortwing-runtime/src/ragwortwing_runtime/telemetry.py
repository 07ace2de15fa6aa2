"""Metrics and traces with OpenTelemetry, without additional threads.

OpenTelemetry's periodic metric reader and batch span processor start threads. Here metrics are
collected when they are scraped, and finished spans are buffered until a trio task exports them.
"""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import httpcore
import logbook
import trio
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry.metrics import Meter
    from opentelemetry.trace import Span, SpanKind

    from .settings import TelemetrySettings
    from .settings_reader import HttpUrl

log = logbook.Logger("telemetry")

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""
TRACEPARENT = "traceparent"
"""Name of the W3C trace context header."""
_PROPAGATOR = TraceContextTextMapPropagator()


class SpanBuffer(SpanProcessor):  # type: ignore[misc]
    """Buffers finished spans up to a limit; beyond it the oldest are dropped."""

    def __init__(self, limit: int) -> None:
        self._spans: deque[ReadableSpan] = deque(maxlen=limit)

    def __len__(self) -> int:
        return len(self._spans)

    def on_end(self, span: ReadableSpan) -> None:
        """Add a finished span to the buffer."""
        self._spans.append(span)

    def take(self) -> list[ReadableSpan]:
        """Remove and return all buffered spans."""
        spans = list(self._spans)
        self._spans.clear()
        return spans


class Telemetry:
    """Metrics and traces of one process."""

    def __init__(self, service: str, instance: str, zone: str, settings: TelemetrySettings) -> None:
        resource = Resource(
            {
                "service.name": service,
                "service.instance.id": instance,
                "cloud.availability_zone": zone,
            }
        )
        self._settings = settings
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry, scope_info_enabled=False)
        meters = MeterProvider([reader], resource=resource, shutdown_on_exit=False)
        self.meter: Meter = meters.get_meter(service)
        """Creates the metric instruments of the process."""
        self.spans = SpanBuffer(settings.span_buffer)
        """Finished spans that were not exported yet."""
        sampler = ParentBased(TraceIdRatioBased(settings.sample_ratio))
        tracers = TracerProvider(sampler=sampler, resource=resource, shutdown_on_exit=False)
        tracers.add_span_processor(self.spans)
        self._tracer = tracers.get_tracer(service)

    def metrics_text(self) -> bytes:
        """Collect all metrics and return them in the Prometheus text format."""
        return bytes(generate_latest(self._registry))

    def start_span(self, name: str, kind: SpanKind, traceparent: str = "") -> Span:
        """Start a span.

        Args:
            name: Name of the operation.
            kind: `SERVER` for the receiving side of a call, `CLIENT` for the calling side.
            traceparent: W3C trace context of the caller, or empty if there is none.

        Returns:
            The span. The caller of this method must end it.
        """
        parent = _PROPAGATOR.extract({TRACEPARENT: traceparent})
        return self._tracer.start_span(name, context=parent, kind=kind)

    @contextmanager
    def span(self, name: str, kind: SpanKind, traceparent: str = "") -> Iterator[Span]:
        """Run a block within a span; see `start_span` for the arguments."""
        span = self.start_span(name, kind, traceparent)
        try:
            yield span
        finally:
            span.end()

    async def send_spans(self) -> None:
        """Export finished spans to the collector at a fixed interval until cancelled."""
        collector = self._settings.collector
        if collector is None:
            return
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await trio.sleep(self._settings.flush_interval.total_seconds())
                await self._send_batch(pool, collector)

    async def flush(self) -> None:
        """Export the remaining spans before the process stops."""
        if self._settings.collector is not None:
            async with httpcore.AsyncConnectionPool() as pool:
                await self._send_batch(pool, self._settings.collector)

    async def _send_batch(self, pool: httpcore.AsyncConnectionPool, collector: HttpUrl) -> None:
        spans = self.spans.take()
        if not spans:
            return
        seconds = self._settings.flush_interval.total_seconds()
        timeouts = {"connect": seconds, "read": seconds, "write": seconds, "pool": seconds}
        try:
            response = await pool.request(
                "POST",
                f"{collector}/v1/traces",
                headers={"content-type": "application/x-protobuf"},
                content=encode_spans(spans).SerializeToString(),
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            # The batch is dropped and the loss logged. Otherwise spans would accumulate in memory
            # while the collector is down.
            log.warning("Failed to export spans", spans=len(spans), error=type(error).__name__)
            return
        if response.status >= 300:
            log.warning("Collector refused spans", spans=len(spans), status=response.status)


def traceparent_of(span: Span) -> str:
    """Return the W3C trace context that propagates a span to the next process as the parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")


def trace_id_of(span: Span) -> str:
    """Return the trace id of a span in hexadecimal."""
    return str(trace.format_trace_id(span.get_span_context().trace_id))
