"""Whether a plain service is short of room, as the leader decides."""

from __future__ import annotations

from dataclasses import dataclass

PRESSURE_FRESH_MS = 500
"""Calls that wait at an upstream are gone after a few runs."""
SHORT_WAITING_FRACTION = 1.0
"""The service is short if so many calls per place wait at its upstreams together; the last of them
waits for a whole run. Fewer wait now and then where there is room, since calls come unevenly."""
PLENTY_USED_FRACTION = 0.75
"""Part of the room up to which gateways spread calls well enough by themselves."""
PLENTY_MS = 2_000
"""Time with fewer calls than that, and none that waits, after which there is plenty again."""
END_HEARD_MS = 1_000
"""Time within which all gateways hear that a shortage ended."""


@dataclass(frozen=True, slots=True)
class _Pressure:
    """Calls that waited at an upstream at a time."""

    waiting: int
    at_ms: int


class ServiceShortage:
    """Decides when a service becomes short of room, and when it has plenty again.

    Attributes
    ----------
    short : bool
        Whether gateways have to ask for a turn before each call.
    """

    def __init__(self) -> None:
        self.short = False
        self._ended_ms: int | None = None
        self._pressures: dict[str, _Pressure] = {}
        self._busy_ms = 0

    def note_waiting(self, instance: str, waiting: int, places: int, now_ms: int) -> None:
        """Record the calls that wait at an upstream.

        Parameters
        ----------
        places : int
            Calls that all upstreams of the service run at once.
        """
        self._pressures[instance] = _Pressure(waiting, now_ms)
        fresh = {
            name: one
            for name, one in self._pressures.items()
            if now_ms - one.at_ms < PRESSURE_FRESH_MS
        }
        self._pressures = fresh
        if sum(one.waiting for one in fresh.values()) >= SHORT_WAITING_FRACTION * places:
            self.begin(now_ms)

    def begin(self, now_ms: int) -> None:
        """Hold the service for short from now on."""
        self.short = True
        self._busy_ms = now_ms

    def note_use(self, used: int, waiting: int, places: int, now_ms: int) -> None:
        """Record the places in use and the calls that wait for a turn."""
        if waiting or used > PLENTY_USED_FRACTION * places:
            self._busy_ms = now_ms
        elif self.short and now_ms - self._busy_ms >= PLENTY_MS:
            self.short = False
            self._ended_ms = now_ms

    def was_short(self, now_ms: int) -> bool:
        """Whether the service is short, or was until just now."""
        if self.short:
            return True
        return self._ended_ms is not None and now_ms - self._ended_ms < END_HEARD_MS
