"""What one send needs of its connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionNeed:
    """One send of a request, as far as its connection is concerned.

    Attributes
    ----------
    instance : str
        Incarnation of the upstream that receives the request.
    service : str
        Service of the upstream.
    request_id : str
        Id of the request, which its answer names.
    runs_once : bool
        Whether the request may run only once, so that its loss can't be mended by a repeat.
    """

    instance: str
    service: str
    request_id: str
    runs_once: bool
