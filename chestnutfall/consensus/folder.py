"""Interface of the data folder that `FileStorage` uses."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Folder(ABC):
    """Named files of one data folder; after a crash only synced content is certain to remain."""

    @abstractmethod
    def names(self) -> list[str]:
        """Return the names of all files in the folder."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append `data` to a file, created if missing, and sync it."""

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically, and sync it and its directory entry."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
