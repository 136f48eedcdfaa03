"""When refused callers should retry."""

from __future__ import annotations

MAX_WAIT_MS = 10_000
"""Callers don't plan further ahead; a longer wait only says that demand is far too high."""


class RetrySchedule:
    """Gives each refused request a retry time of its own.

    If all refused callers got the same time, they would all retry at once, and most of them
    would be refused again.
    """

    def __init__(self) -> None:
        self._next_ms: dict[str, int] = {}

    def wait_ms(self, name: str, free_ms: float, step_ms: float, now_ms: int) -> int:
        """Reserve a retry time, and return the time until then.

        Parameters
        ----------
        name : str
            The resource that is short, such as a service or an organisation.
        free_ms : float
            Time until the request would be admitted if no other were waiting.
        step_ms : float
            How much later the next refused request would be admitted.
        """
        start_ms = max(now_ms + int(free_ms), self._next_ms.get(name, 0))
        start_ms = min(start_ms, now_ms + MAX_WAIT_MS)
        self._next_ms[name] = start_ms + int(step_ms)
        return start_ms - now_ms

    def forget(self, name: str) -> None:
        """Drop the reservations of a resource that is no longer short."""
        self._next_ms.pop(name, None)
