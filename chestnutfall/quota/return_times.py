"""When callers that are refused may come back."""

from __future__ import annotations

MOST_WAIT_MS = 10_000
"""Nobody plans further ahead; a longer wait only says that far too much is asked."""


class ReturnTimes:
    """A moment of its own for each request that is refused.

    Told the same one, all would come back together, and most of them would be refused again.
    """

    def __init__(self) -> None:
        self._promised_ms: dict[str, int] = {}

    def wait_ms(self, name: str, free_ms: float, step_ms: float, now_ms: int) -> int:
        """Time until the request should come back.

        Parameters
        ----------
        name : str
            What is short.
        free_ms : float
            Time until the request would pass if it were the only one.
        step_ms : float
            How much later that is for the request after it.
        """
        start_ms = max(now_ms + int(free_ms), self._promised_ms.get(name, 0))
        start_ms = min(start_ms, now_ms + MOST_WAIT_MS)
        self._promised_ms[name] = start_ms + int(step_ms)
        return start_ms - now_ms

    def forget(self, name: str) -> None:
        """Drop the promises of what is not short any more."""
        self._promised_ms.pop(name, None)
