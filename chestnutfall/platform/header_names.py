"""Names of the platform's HTTP headers.

Where the name of a header misleads, a comment says what it holds.
"""

from __future__ import annotations

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"  # time left from now in ms, not a point in time
MODEL = "X-Model"  # MODEL/ADAPTER, or the model alone
TOKEN_COUNTS = "X-Token-Counts"  # PROMPT,OUTPUT: tokens of the prompt, most tokens to generate
PROMPT_PARTS = "X-Prompt-Prefix"  # ID:TOKENS,... of all parts of the prompt, not only its prefix
LAST_EVENT = "Last-Event-Id"  # last event that a client has, if it resumes a stream
RESUMES = "Resumes"  # id of the client's attempt that brought the first event of that stream
EXPECTED_INSTANCE = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"  # of the adapter
RANK = "X-Request-Priority"  # 0 is the most urgent, 9 the least
NOT_EXECUTED = "X-Not-Executed"  # its presence proves that the request did not run
INSTANCE = "X-Instance-Id"
LOAD = "X-Instance-Load"
REQUEST_LIMIT = "Server-Limit"  # requests a second that the upstream takes
LEAVING = "Server-Leaving"
REJECTION_LIMIT = "Server-Brittle"  # requests a second that it may reject for want of room
RETRY_AFTER = "Retry-After"
KEY = "X-Api-Key"
ORGANISATION = "X-Tenant"  # name of the organisation, not its key
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
"""Headers that belong to one connection, or that are set again for the body that is sent."""

NOT_FORWARDED = frozenset(
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
"""Request headers that are not forwarded from clients: those that only this system sets towards
upstreams, and the API key, which must not leave the gateway."""

ANSWER_HEADERS = (
    REQUEST_ID,
    NOT_EXECUTED,
    INSTANCE,
    LOAD,
    REQUEST_LIMIT,
    LEAVING,
    REJECTION_LIMIT,
    STAMP,
    WEIGHT_VERSIONS,
)
"""Headers of answers that the gateway reads; the last two are meant for clients only."""
