"""Errors of a request to an engine."""

from __future__ import annotations

ENGINE_SILENT = "engine_silent"
"""Code of an answer that was given up since its engine was silent for too long."""

ENGINE_UNREACHABLE = "engine_unreachable"
"""Code of a request that was not sent since no connection to the engine opened."""


class EngineRefused(Exception):
    """The engine provably did not run the request: no connection, or the engine's own refusal.

    Attributes
    ----------
    code : str
        Machine-readable reason, passed on to the caller.
    final : bool
        Whether another engine would refuse too, since the request itself is bad.
    """

    def __init__(self, code: str, message: str, final: bool = False) -> None:
        super().__init__(message)
        self.code = code
        self.final = final

    @property
    def is_unreached(self) -> bool:
        """Whether no connection opened; the engine may be sound, and its link be cut."""
        return self.code == ENGINE_UNREACHABLE


class EngineBroken(Exception):
    """The answer broke off, was wrong, or stalled; the request may have run.

    Attributes
    ----------
    code : str
        Machine-readable reason, passed on to the caller.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code

    @property
    def is_silence(self) -> bool:
        """Whether the connection was still open; the engine may be sound, and go on."""
        return self.code == ENGINE_SILENT
