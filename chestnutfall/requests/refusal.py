"""Error answer to a request that could not be served."""

from __future__ import annotations

from .executed import Executed


class Refusal(Exception):
    """Raised to end a request with an error answer to its caller.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable reason.
    message : str
        Reason for people.
    executed : Executed
        Whether the request ran, as far as is known.
    retry_after_ms : int or None
        Time until a retry is useful; None when the caller should not retry.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        executed: Executed = Executed.NO,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.executed = executed
        self.retry_after_ms = retry_after_ms
