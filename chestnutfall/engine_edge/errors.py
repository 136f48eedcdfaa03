"""How an engine fails a request."""

from __future__ import annotations


class EngineRefused(Exception):
    """The engine provably did not run the request: no connection, or its own refusal.

    Attributes
    ----------
    code : str
        Machine-readable reason.
    final : bool
        Whether another engine would refuse as well (the request itself is bad).
    """

    def __init__(self, code: str, message: str, final: bool = False) -> None:
        super().__init__(message)
        self.code = code
        self.final = final


class EngineBroken(Exception):
    """The answer broke off, was wrong, or fell silent; the request may have run."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code
