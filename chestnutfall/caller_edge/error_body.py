"""Error responses in the format of the OpenAI API."""

from __future__ import annotations

import json
import math
from typing import Any

from ..requests import Refusal

_TYPES = {400: "invalid_request_error", 401: "authentication_error", 403: "permission_error"}


def error_object(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the error object of the OpenAI API, extended by `executed` and retry data."""
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
    """Return the error object as JSON text."""
    return json.dumps(error_object(refusal, request_id))


def error_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that tell a client whether and when to retry.

    `Retry-After` is in whole seconds, rounded up, and at least 1.
    """
    headers = {"X-Executed": refusal.executed.value}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after_ms / 1000), 1))
    # Common client libraries retry 409, 429 and 5xx by themselves. A non-idempotent request that
    # may have run would then run twice without its caller's knowledge. Such refusals, and those
    # for which a retry cannot help, have no `retry_after_ms`.
    if refusal.retry_after_ms is None:
        headers["x-should-retry"] = "false"
    return headers
