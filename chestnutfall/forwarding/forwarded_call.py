"""One send of a call to one upstream."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.upstream_record import UpstreamRecord
from .call import Call


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A call with the upstream that receives it and the data sent along.

    Attributes
    ----------
    version : int
        Version of the adapter that the engine must hold; 0 accepts any.
    rank : int
        Urgency, 0 is first.
    left_ms : int
        Time after which the answer is worthless to the client.
    resume_after : int or None
        Number of the last event that the client already has.
    runs_once : bool
        Whether the call may run only once, so that its loss can't be mended by a repeat.
    silent_ms : float
        How long the upstream may be silent before its answer counts as lost.
    organisation : str
        Organisation that sent the call; empty if the route needs no key.
    """

    call: Call
    upstream: UpstreamRecord
    version: int
    rank: int
    left_ms: int
    resume_after: int | None
    runs_once: bool
    silent_ms: float
    organisation: str = ""
