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
    retry_after_ms : int or None
        Time after which the client may try again; None if none is stated.
    """

    def __init__(
        self, status: int, reason: str, detail: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms
