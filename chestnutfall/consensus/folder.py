"""The data folder as the storage sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Folder(ABC):
    """Files of one data folder; only what is synced survives."""

    @abstractmethod
    def names(self) -> list[str]:
        """Names of the files in it."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """The content of a file."""

    @abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Add `data` to a file and sync it."""

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Give a file new content at once, synced together with the folder's entry for it."""

    @abstractmethod
    def cut(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes and sync it."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Delete a file."""
