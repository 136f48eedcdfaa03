"""An HTTP client that sends each request once."""

from __future__ import annotations

from typing import Any

import aiohttp


def single_send_session(connector: aiohttp.TCPConnector, **options: Any) -> aiohttp.ClientSession:
    """Make a session for requests that are passed on.

    By itself aiohttp sends GET, PUT, DELETE and their like once more when their connection breaks.
    Symptom: an upstream runs one request twice, although its route says once; and when the second
    send finds a closed port, the request counts as never sent and its caller is told "not run".
    The repeat is off here, so that whoever knows the route and the budget decides on it. aiohttp
    has no public switch for it; its own test client uses this one.
    """
    session = aiohttp.ClientSession(
        connector=connector, auto_decompress=False, trust_env=False, **options
    )
    session._retry_connection = False
    return session
