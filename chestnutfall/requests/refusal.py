"""The truthful answer to a request that gets no other."""

from __future__ import annotations

from .executed import Executed


class Refusal(Exception):
    """A final answer that is not the asked one.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable reason.
    executed : Executed
        Whether the request ran.
    retry_after_ms : int or None
        When to come back; None when that does not help.
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
