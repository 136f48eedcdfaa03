"""Interface to an open connection that may serve another request."""

from __future__ import annotations

from abc import ABC, abstractmethod


class KeptConnection(ABC):
    """An open connection whose last answer was received whole."""

    @abstractmethod
    def is_quiet(self) -> bool:
        """Look whether the connection is still open and nothing has arrived since its last answer.

        The look includes what the system has received and the program has not yet read: data, an
        end of file or a reset.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""
