"""The log lines of one send."""

from __future__ import annotations

import logging

from ..limits.limit_signal import limit_text
from ..signals.backoff_signal import backoff_text
from .relayed_send import RelayedSend
from .send_result import Delivered, Failed, HeldBack, Lost, Refused, SendResult

log = logging.getLogger(__name__)


def log_send(sending: RelayedSend, now_ms: int, result: SendResult) -> None:
    """Log the result of a send that ended at `now_ms`."""
    progress, place, signals = sending.progress, sending.place, sending.signals
    call = progress.call
    log.info(
        "call: id=%s content=%s route=%s organisation=%s adapter=%s send=%d instance=%s version=%d "
        "build=%s last_event=%s resumes=%s "
        "queued=%d loading=%d sent=%d result=%s %s first=%d pause=%d tokens=%d limit=%s "
        "backoff=%s leaving=%d helped=%d silent=%d ms=%d",
        call.request_id,
        progress.fingerprint,
        sending.route.name,
        progress.organisation,
        call.adapter.adapter if call.adapter else "",
        sending.number,
        place.upstream.instance,
        place.version,
        place.upstream.build,
        "" if progress.last_event is None else progress.last_event,
        call.resumes,
        place.queued_ms,
        place.loading_ms,
        sending.sent_ms - call.arrived_ms,
        type(result).__name__,
        _code(result),
        progress.first_ms,
        progress.pause_ms,
        call.prompt_tokens,
        limit_text(signals.limit),
        backoff_text(signals.backoff),
        signals.leaving,
        progress.helped,
        sending.silent_ms,
        now_ms - call.arrived_ms,
    )


def log_unfinished(sending: RelayedSend) -> None:
    """Log a send that ends with its call, before its answer was whole."""
    log.info(
        "call: id=%s unfinished send=%d instance=%s last_event=%s at_work=%d silent=%d",
        sending.progress.call.request_id,
        sending.number,
        sending.place.upstream.instance,
        sending.progress.last_event,
        sending.is_at_work,
        sending.silent_ms,
    )


def _code(result: SendResult) -> str:
    match result:
        case Refused(code) | Lost(code):
            return code
        case Failed(status):
            return str(status)
        case Delivered() | HeldBack():
            return ""
