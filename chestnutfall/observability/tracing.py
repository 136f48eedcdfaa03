"""OpenTelemetry spans for each hop of a request."""

from __future__ import annotations

import json
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult


class _FileExporter(SpanExporter):
    """Appends one JSON line for each span."""

    def __init__(self, path: str) -> None:
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        try:
            with open(self._path, "a", encoding="utf-8") as file:
                for span in spans:
                    file.write(json.dumps(_line(span)) + "\n")
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS


def _line(span: ReadableSpan) -> dict[str, object]:
    ctx = span.get_span_context()
    assert ctx is not None
    parent = span.parent
    return {
        "trace_id": f"{ctx.trace_id:032x}",
        "span_id": f"{ctx.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else None,
        "name": span.name,
        "host": span.resource.attributes.get("host.name"),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


def start_tracing(trace_file: str | None, program: str, name: str) -> trace.Tracer:
    """Return the tracer; without a file its spans are made and dropped.

    Spans are exported by a thread of the library from a bounded queue; when the file can't be
    written they are lost and no request notices.
    """
    if trace_file is None:
        return trace.get_tracer("chestnutfall")
    resource = Resource({"service.name": f"chestnutfall-{program}", "host.name": name})
    provider = TracerProvider(resource=resource)
    exporter = _FileExporter(trace_file)
    provider.add_span_processor(BatchSpanProcessor(exporter, schedule_delay_millis=500))
    return provider.get_tracer("chestnutfall")
