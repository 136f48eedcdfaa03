"""How far a caller's request has come."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from ..requests import Executed


@dataclass(slots=True)
class RequestProgress:
    """State of one request, which decides how it may end.

    Attributes
    ----------
    arrived_ms : int
        Clock time at which its head was read.
    caller : str
        Name of the caller; empty until it is authenticated.
    request_id : str
        Id made by the gateway; empty until the request was parsed, and for plain services.
    executed : Executed
        Whether an upstream may have run it.
    stream : web.StreamResponse or None
        The streamed answer once its head was written.
    """

    arrived_ms: int
    caller: str = ""
    request_id: str = ""
    executed: Executed = Executed.NO
    stream: web.StreamResponse | None = None
