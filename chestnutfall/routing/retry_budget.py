"""How many retries a gateway may send in all."""

from __future__ import annotations

MAX_TOKENS = 20.0
PER_REQUEST = 0.1


class RetryBudget:
    """Tokens earned by requests and spent by retries.

    When most attempts fail, retries multiply the load on whatever is left. With the budget they
    add a tenth at most, whatever each request would be allowed by its deadline.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Note a new request."""
        self._tokens = min(self._tokens + PER_REQUEST, MAX_TOKENS)

    def spend(self) -> bool:
        """Take one retry; False when there is none left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
