"""What gateways and the leader tell each other of upstreams that want no work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeardBackoff:
    """An upstream wants no request from the gateway that tells this.

    Attributes
    ----------
    left_ms : int or None
        For how long; None for good, since it leaves.
    """

    instance: str
    left_ms: int | None


@dataclass(frozen=True, slots=True)
class BackoffHints:
    """Plain upstreams that asked other gateways for time; they are the last choice meanwhile."""

    hints: tuple[HeardBackoff, ...]
