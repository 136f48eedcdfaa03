"""The queue of the requests that compete for the same engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """A service's requests, or those of them that only engines with one software can serve.

    Attributes
    ----------
    service : str
        The service.
    build_key : str
        Software that the engines must run; empty for all engines of the service.
    """

    service: str
    build_key: str = ""

    @property
    def name(self) -> str:
        """Name of the queue, by which its rates are kept."""
        return f"{self.service} {self.build_key}" if self.build_key else self.service
