"""Budget of retries on one gateway."""

from __future__ import annotations

MAX_TOKENS = 20.0
PER_REQUEST = 0.1


class RetryBudget:
    """Token budget that requests fill and retries spend.

    When most attempts fail, retries multiply the load on the remaining engines. The budget limits
    them to a tenth of the requests, whatever each request's deadline would allow.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Add the share of a new request."""
        self._tokens = min(self._tokens + PER_REQUEST, MAX_TOKENS)

    def spend(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Return a retry that turned out not to be needed."""
        self._tokens = min(self._tokens + 1, MAX_TOKENS)
