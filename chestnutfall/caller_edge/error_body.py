"""Refusals as callers see them."""

from __future__ import annotations

import json
import math
from typing import Any

from ..requests import Refusal

_TYPES = {400: "invalid_request_error", 401: "authentication_error", 403: "permission_error"}


def error_object(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """The error object of the OpenAI API, with `executed`."""
    return {
        "error": {
            "message": refusal.message,
            "type": _TYPES.get(refusal.status, "server_error"),
            "param": None,
            "code": refusal.code,
            "executed": refusal.executed.value,
            "retry_after_ms": refusal.retry_after_ms,
            "request_id": request_id,
        }
    }


def error_text(refusal: Refusal, request_id: str) -> str:
    """The error object as JSON."""
    return json.dumps(error_object(refusal, request_id))


def error_headers(refusal: Refusal) -> dict[str, str]:
    """Headers that tell a client whether and when to try again."""
    headers = {"X-Executed": refusal.executed.value}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after_ms / 1000), 1))
    # The usual client repeats requests on 409, 429 and 5xx by itself. A non-idempotent request
    # that may have run would run twice without its caller's knowledge; such refusals, and those
    # that a repeat can't help, carry no time to come back.
    if refusal.retry_after_ms is None:
        headers["x-should-retry"] = "false"
    return headers
