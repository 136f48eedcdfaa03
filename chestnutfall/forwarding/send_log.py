"""The log line of one send."""

from __future__ import annotations

import logging

from ..limits.limit_signal import limit_text
from ..routes import Route
from ..signals.backoff_signal import backoff_text
from .place import Place
from .progress import Progress
from .send_result import Delivered, Failed, HeldBack, Lost, Refused, SendResult

log = logging.getLogger(__name__)


def log_send(
    progress: Progress, route: Route, place: Place, sent_ms: int, now_ms: int, result: SendResult
) -> None:
    """Log the result of a send that began at `sent_ms` and ended at `now_ms`."""
    call = progress.call
    log.info(
        "call: id=%s content=%s route=%s organisation=%s adapter=%s send=%d instance=%s version=%d "
        "build=%s last_event=%s resumes=%s "
        "queued=%d loading=%d sent=%d result=%s %s first=%d pause=%d tokens=%d limit=%s "
        "backoff=%s leaving=%d helped=%d ms=%d",
        call.request_id,
        progress.fingerprint,
        route.name,
        progress.organisation,
        call.adapter.adapter if call.adapter else "",
        progress.sends,
        place.upstream.instance,
        place.version,
        place.upstream.build,
        "" if progress.last_event is None else progress.last_event,
        call.resumes,
        place.queued_ms,
        place.loading_ms,
        sent_ms - call.arrived_ms,
        type(result).__name__,
        _code(result),
        progress.first_ms,
        progress.pause_ms,
        call.prompt_tokens,
        limit_text(progress.signals.limit),
        backoff_text(progress.signals.backoff),
        progress.signals.leaving,
        progress.helped,
        now_ms - call.arrived_ms,
    )


def _code(result: SendResult) -> str:
    match result:
        case Refused(code) | Lost(code):
            return code
        case Failed(status):
            return str(status)
        case Delivered() | HeldBack():
            return ""
