"""Error for a request of a client that can't be decoded."""

from __future__ import annotations


class UnreadableRequest(Exception):
    """The request is refused before it is passed on; nothing ran.

    Attributes
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
        Machine-readable cause.
    """

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
