"""When refused callers should come back, and which of them did."""

from __future__ import annotations

from collections import deque

from ..quota.retry_schedule import MAX_WAIT_MS

RETURN_FRACTION = 0.1
"""Part of a flow's turns that is promised to callers that were refused. The rest is for new ones:
if all were promised, each call would be served at its second attempt only, and late."""
MAX_FLOWS = 4_096
MAX_PROMISES = 8_192
"""Bounds on memory; the oldest entries are dropped."""
EARLY_MS = 20
"""A caller that comes back so much too early counts as one that came when it was told to."""
LATE_MS = 2_000
"""Clients add their own delays, and connect again before they come back."""


class ReturnBook:
    """Gives each refused caller a time of its own, and recognises those that come back at it."""

    def __init__(self) -> None:
        self._next_ms: dict[tuple[str, str, str], float] = {}
        self._promised: dict[str, deque[float]] = {}

    def promise(
        self,
        flow: tuple[str, str, str],
        request: str,
        excess_ms: float,
        per_ms: float,
        now_ms: int,
    ) -> int:
        """Return the time after which a refused caller should come back.

        Parameters
        ----------
        flow : tuple of str
            Service, kind and organisation of the call.
        request : str
            Digest of the request, the same when it comes back; empty if unknown.
        excess_ms : float
            By how much the call missed its time.
        per_ms : float
            Rate at which the flow gets turns.
        """
        step_ms = 1 / (RETURN_FRACTION * per_ms) if per_ms > 0 else MAX_WAIT_MS
        start_ms = max(now_ms + excess_ms, self._next_ms.pop(flow, 0.0))
        start_ms = min(start_ms, now_ms + MAX_WAIT_MS)
        self._next_ms[flow] = start_ms + min(step_ms, MAX_WAIT_MS)
        if len(self._next_ms) > MAX_FLOWS:
            del self._next_ms[next(iter(self._next_ms))]
        if request:
            self._remember(request, start_ms)
        return max(int(start_ms - now_ms), 1)

    def _remember(self, request: str, due_ms: float) -> None:
        # Reinserting keeps the dictionary in order of the last refusal, the oldest first.
        due = self._promised.pop(request, None) or deque(maxlen=MAX_PROMISES)
        due.append(due_ms)
        self._promised[request] = due
        if len(self._promised) > MAX_PROMISES:
            del self._promised[next(iter(self._promised))]

    def claim(self, request: str, now_ms: int) -> bool:
        """Whether a call is one that was refused and comes back when it was told to."""
        due = self._promised.get(request)
        if due is None:
            return False
        while due and due[0] < now_ms - LATE_MS:
            due.popleft()
        came = bool(due) and due[0] <= now_ms + EARLY_MS
        if came:
            due.popleft()
        if not due:
            del self._promised[request]
        return came
