"""An HTTP client session that sends each request only once."""

from __future__ import annotations

from typing import Any

import aiohttp


def single_send_session(connector: aiohttp.TCPConnector, **options: Any) -> aiohttp.ClientSession:
    """Return a client session for forwarded requests, without aiohttp's automatic retry.

    By default aiohttp resends GET, PUT, DELETE and other idempotent requests once when their
    connection breaks. An upstream could then run a request twice although its route allows one
    attempt. If the resend finds a closed port, the request would be reported as never sent, and
    the caller would be told that it was not run. The retry is switched off, since only the
    forwarding code knows the route and the retry budget. aiohttp has no public option for this;
    the private attribute set here is the one that aiohttp's own test client uses.
    """
    session = aiohttp.ClientSession(
        connector=connector, auto_decompress=False, trust_env=False, **options
    )
    session._retry_connection = False
    return session
