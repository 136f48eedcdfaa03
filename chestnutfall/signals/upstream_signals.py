"""All signals of one answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..limits import LimitSignal, UndeclaredLimit
from .backoff_signal import BackoffSignal, NoBackoff
from .rejection_signal import RejectionSignal, UndeclaredRejections
from .upstream_load import UpstreamLoad


@dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """The signals of one answer about the upstream that sent it.

    Attributes
    ----------
    limit : LimitSignal
        Requests per second that the upstream accepts from all gateways together.
    backoff : BackoffSignal
        How long it asks for no requests from the gateway that it answers.
    leaving : bool
        Whether it is about to end and accepts no new work.
    load : UpstreamLoad or None
        Its load; None if the answer does not report it.
    rejections : RejectionSignal
        Rejections for want of room that it bears within a second.
    """

    limit: LimitSignal = field(default_factory=UndeclaredLimit)
    backoff: BackoffSignal = field(default_factory=NoBackoff)
    leaving: bool = False
    load: UpstreamLoad | None = None
    rejections: RejectionSignal = field(default_factory=UndeclaredRejections)


NO_SIGNALS = UpstreamSignals()
