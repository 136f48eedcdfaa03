"""Keeps an engine that bears few rejections from being sent more than it has room for."""

from __future__ import annotations

import heapq
from collections import deque

from .run_outcome import RunOutcome

WINDOW_MS = 1_000
"""Engines count their rejections within a second."""
RESERVE = 1
"""Rejections kept back for requests that are on their way when one is rejected."""
UNCERTAIN_MS = 2_000
"""How long at most a place whose request ended without an answer may still be in use: an engine
that does not notice a closed connection works on until the answer would have been complete."""
LONGER_THAN_SEEN = 1.5
"""A request is taken to end within so many times the longest of the recent ones."""
RECENT_RUNS = 64
GRANT_WINDOW_MS = 50
"""Time from a grant until its rejection would be known to the leader, on a busy gateway."""


class RejectionGuard:
    """Whether one more request may be sent to an engine, and what is uncertain about its room.

    Attributes
    ----------
    per_s : int or None
        Rejections within a second that the engine bears; None for any number, and then the guard
        allows everything and remembers nothing.
    careful_until_ms : int
        Clock time until which this leader may not know of all requests that run there.
    careful_fraction : float
        Part of the batch that may be used until then.
    """

    def __init__(self) -> None:
        self.per_s: int | None = None
        self.careful_until_ms = 0
        self.careful_fraction = 0.0
        self._rejected_ms: deque[int] = deque()
        self._granted_ms: deque[int] = deque()
        self._granted: dict[str, int] = {}
        self._run_ms: deque[int] = deque(maxlen=RECENT_RUNS)
        self._uncertain_until_ms: list[int] = []

    def note_granted(self, ticket: str, now_ms: int) -> None:
        """Record that a request is sent there, or was before this leader's term."""
        if self.per_s is not None:
            self._granted_ms.append(now_ms)
            self._granted[ticket] = now_ms

    def note_end(self, ticket: str, outcome: RunOutcome, now_ms: int) -> None:
        """Record how a request ended, and what that tells of the engine's room."""
        granted_ms = self._granted.pop(ticket, None)
        if self.per_s is None:
            return
        match outcome:
            case RunOutcome.DONE if granted_ms is not None:
                self._run_ms.append(now_ms - granted_ms)
            case RunOutcome.FULL:
                # Something runs there that this leader does not know of.
                self._rejected_ms.append(now_ms)
                self._note_uncertain(now_ms + WINDOW_MS)
            case RunOutcome.LEFT | RunOutcome.BROKEN | RunOutcome.WITHDRAWN:
                self._note_uncertain(self._may_run_until_ms(granted_ms, now_ms))
            case _:
                pass

    def _may_run_until_ms(self, granted_ms: int | None, now_ms: int) -> int:
        latest_ms = now_ms + UNCERTAIN_MS
        if granted_ms is None or not self._run_ms:
            return latest_ms
        return min(granted_ms + int(LONGER_THAN_SEEN * max(self._run_ms)), latest_ms)

    def may_send(self, sent: int, batch: int, now_ms: int) -> bool:
        """Whether one more request finds room there, as far as that is known.

        Parameters
        ----------
        sent : int
            Requests that were sent there and have not ended.
        batch : int
            Requests that the engine runs at once.
        """
        if self.per_s is None:
            return True
        self._forget(now_ms)
        if self._rejected_ms and len(self._rejected_ms) >= max(self.per_s - RESERVE, 1):
            return False
        if now_ms < self.careful_until_ms:
            batch = int(batch * self.careful_fraction)
            if len(self._granted_ms) >= max(self.per_s - RESERVE, 1):
                return False
        return sent + len(self._uncertain_until_ms) < batch

    def _note_uncertain(self, until_ms: int) -> None:
        heapq.heappush(self._uncertain_until_ms, until_ms)

    def _forget(self, now_ms: int) -> None:
        while self._rejected_ms and self._rejected_ms[0] <= now_ms - WINDOW_MS:
            self._rejected_ms.popleft()
        while self._granted_ms and self._granted_ms[0] <= now_ms - GRANT_WINDOW_MS:
            self._granted_ms.popleft()
        while self._uncertain_until_ms and self._uncertain_until_ms[0] <= now_ms:
            heapq.heappop(self._uncertain_until_ms)
