"""All that one answer says of its upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..limits import LimitSignal, UndeclaredLimit
from .backoff_word import BackoffWord, NoBackoff
from .upstream_load import UpstreamLoad


@dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """What an upstream says of itself.

    Attributes
    ----------
    limit : LimitSignal
        Requests a second that it takes from all gateways together.
    backoff : BackoffWord
        For how long it wants no request from the gateway that it answers.
    leaving : bool
        Whether it is about to end and wants no new work.
    load : UpstreamLoad or None
        What it has to do, if it tells.
    """

    limit: LimitSignal = field(default_factory=UndeclaredLimit)
    backoff: BackoffWord = field(default_factory=NoBackoff)
    leaving: bool = False
    load: UpstreamLoad | None = None


NO_SIGNALS = UpstreamSignals()
