"""Messages about backoffs between gateways and the leader or the owners of engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeardBackoff:
    """An upstream asked a gateway for a backoff, or is leaving.

    From a gateway it reports a backoff towards that gateway; in `BackoffHints` it is one towards
    another gateway.

    Attributes
    ----------
    left_ms : int or None
        Time until the backoff ends; None if it never does, since the upstream is leaving.
    """

    instance: str
    left_ms: int | None


@dataclass(frozen=True, slots=True)
class BackoffHints:
    """The leader's hints of plain upstreams that asked other gateways for a backoff.

    A gateway chooses these upstreams last until their backoffs end.
    """

    hints: tuple[HeardBackoff, ...]


@dataclass(frozen=True, slots=True)
class HeardRejections:
    """How many rejections for want of room an upstream bears within a second.

    Attributes
    ----------
    per_s : int or None
        None for any number.
    """

    instance: str
    per_s: int | None


@dataclass(frozen=True, slots=True)
class RejectionsInForce:
    """The leader's news of upstreams that bear few rejections, or any number again."""

    upstreams: tuple[HeardRejections, ...]
