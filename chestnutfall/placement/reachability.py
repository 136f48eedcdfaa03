"""Which gateways reach an engine."""

from __future__ import annotations

from collections.abc import Collection

from .upstream_health import EJECTION_MS

FAILURES_TO_EJECT = 2
"""On links that lose a few packets in a hundred, an engine has a failed connection now and then
beside many answers. A host that is down fails all connections, so that its second failure follows
within some ms."""
MAX_GATEWAYS = 1_024
"""Gateways kept for one engine; those that failed most recently stay."""


class Reachability:
    """Failed connections to one engine by gateway, and whether it is down for all.

    A gateway that can't connect says something about its link. The engine gets no more of that
    gateway's requests for a while, and those of others as before. Only if the failure is confirmed
    by another gateway, and none has had an answer since, does it count as down.

    Attributes
    ----------
    reported_cut : collection of str
        Gateways that reported that they do not reach the engine.
    is_reached_by_none : bool
        Whether all gateways reported that.
    """

    def __init__(self) -> None:
        self._cut_until_ms: dict[str, int] = {}
        self._confirmed = 0
        self._down_until_ms = -1
        self.reported_cut: Collection[str] = ()
        self.is_reached_by_none = False

    def note_failed(self, gateway: str, is_confirmed: bool, now_ms: int) -> None:
        """Record that a gateway could not connect.

        Parameters
        ----------
        is_confirmed : bool
            Whether another gateway, which reaches other upstreams, could not connect either.
        """
        self._cut_until_ms.pop(gateway, None)
        self._cut_until_ms[gateway] = now_ms + EJECTION_MS
        if len(self._cut_until_ms) > MAX_GATEWAYS:
            del self._cut_until_ms[next(iter(self._cut_until_ms))]
        self._confirmed += is_confirmed
        if self._confirmed >= FAILURES_TO_EJECT:
            self._down_until_ms = now_ms + EJECTION_MS

    def note_reached(self, gateway: str) -> None:
        """Record that a gateway had an answer of the engine."""
        self._cut_until_ms.pop(gateway, None)
        self._confirmed = 0
        self._down_until_ms = -1

    def is_cut_from(self, gateway: str, now_ms: int) -> bool:
        """Whether a gateway does not reach the engine, or could not connect lately."""
        return gateway in self.reported_cut or now_ms < self._cut_until_ms.get(gateway, -1)

    def is_down(self, now_ms: int) -> bool:
        """Whether no gateway should be sent there."""
        return self.is_reached_by_none or now_ms < self._down_until_ms
