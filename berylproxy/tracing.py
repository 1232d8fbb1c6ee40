"""Tracing: one span for each hop, linked by W3C trace context."""

import json
import os
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from berylproxy.constants import TRACEPARENT_HEADER
from berylproxy.errors import BerylproxyError

FILE_MODE = 0o644

_PROPAGATOR = TraceContextTextMapPropagator()


class TraceTargetError(BerylproxyError):
    """Traces can't be written to the target of the settings."""

    code = "trace_target_unusable"


class FileSpanExporter(SpanExporter):
    """Appends spans to a file as JSON lines."""

    def __init__(self, path: Path) -> None:
        try:
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, FILE_MODE)
        except OSError as error:
            raise TraceTargetError(
                f"can't write traces to {path}: {error.strerror}", hint="see --trace-target"
            ) from error

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes each span in one call, as several daemons may append to the same file."""
        for span in spans:
            line = json.dumps(json.loads(span.to_json(indent=None))) + "\n"
            os.write(self._descriptor, line.encode())
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


@dataclass(frozen=True, slots=True)
class SpanHandle:
    """An open span.

    :param traceparent: trace context to send to the next hop; empty if nothing is traced.
    """

    traceparent: str


class Tracer:
    """Creates spans, or only forwards the caller's trace context if tracing is off.

    :param target: ``http://…`` for an OTLP collector, else the path of a file; empty for off.
    """

    def __init__(self, target: str, daemon_id: str, failure_domain: str) -> None:
        self._provider: TracerProvider | None = None
        if not target:
            return
        is_collector = target.startswith(("http://", "https://"))
        exporter = OTLPSpanExporter(target) if is_collector else FileSpanExporter(Path(target))
        resource = Resource.create(
            {
                "service.name": "berylproxyd",
                "service.instance.id": daemon_id,
                "berylproxy.failure_domain": failure_domain,
            }
        )
        self._provider = TracerProvider(resource=resource)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("berylproxy")

    @contextmanager
    def span(self, name: str, traceparent: str, **attributes: object) -> Iterator[SpanHandle]:
        """Opens a child span of the caller's span; attribute values are written as text."""
        if self._provider is None:
            yield SpanHandle(traceparent)
            return
        parent = _PROPAGATOR.extract({TRACEPARENT_HEADER: traceparent}, context=Context())
        text_attributes = {key: str(value) for key, value in attributes.items()}
        with self._tracer.start_as_current_span(name, context=parent, attributes=text_attributes):
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier)
            handle = SpanHandle(carrier.get(TRACEPARENT_HEADER, ""))
            yield handle

    def close(self) -> None:
        """Exports the remaining spans and stops the exporter."""
        if self._provider is not None:
            self._provider.shutdown()
