"""Export of OpenTelemetry spans to a file."""

from __future__ import annotations

import json
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult


class _FileExporter(SpanExporter):
    """Appends one JSON line for each finished span to a file."""

    def __init__(self, path: str) -> None:
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        try:
            with open(self._path, "a", encoding="utf-8") as file:
                for span in spans:
                    file.write(json.dumps(_span_fields(span)) + "\n")
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict[str, object]:
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
    """Return the tracer of a program.

    A thread of OpenTelemetry writes the spans from a bounded queue. If the file can't be written,
    spans are lost and requests go on.

    Parameters
    ----------
    trace_file : str or None
        File that spans are appended to. Without one, spans are created and dropped.
    program, name : str
        Program and host that the spans are attributed to.
    """
    if trace_file is None:
        return trace.get_tracer("chestnutfall")
    resource = Resource({"service.name": f"chestnutfall-{program}", "host.name": name})
    provider = TracerProvider(resource=resource)
    exporter = _FileExporter(trace_file)
    provider.add_span_processor(BatchSpanProcessor(exporter, schedule_delay_millis=500))
    return provider.get_tracer("chestnutfall")
