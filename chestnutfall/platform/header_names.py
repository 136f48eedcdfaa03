"""Headers of the platform."""

from __future__ import annotations

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
MODEL = "X-Model"
TOKEN_COUNTS = "X-Token-Counts"
PROMPT_PARTS = "X-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
EXPECTED_INSTANCE = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
RANK = "X-Request-Priority"
NOT_EXECUTED = "X-Not-Executed"
INSTANCE = "X-Instance-Id"
LOAD = "X-Instance-Load"
REQUEST_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
KEY = "X-Api-Key"
ORGANISATION = "X-Tenant"
STAMP = "X-Response-Stamp"
WEIGHT_VERSIONS = "X-Weight-Versions"

CONNECTION_ONLY = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "content-length",
        "upgrade",
        "expect",
    }
)
"""Headers that concern one connection, or that are written anew with the body."""

OURS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        LAST_EVENT,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        RANK,
        KEY,
        ORGANISATION,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers that only the system sets towards an engine, and the key, which ends here; a client's own
are not passed on."""

ANSWERED = (
    REQUEST_ID,
    NOT_EXECUTED,
    INSTANCE,
    LOAD,
    REQUEST_LIMIT,
    LEAVING,
    STAMP,
    WEIGHT_VERSIONS,
)
"""Headers of answers that we read, and the two that are for clients alone."""
