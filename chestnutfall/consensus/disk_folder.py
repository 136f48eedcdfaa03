"""A data folder in the file system."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

from .folder import Folder

LOCK_NAME = "lock"


class FolderInUse(Exception):
    """Another process holds the lock of the data folder."""


class DiskFolder(Folder):
    """Files in the directory `path`, which is created if missing.

    An exclusive lock on a file in it keeps a second process from opening the same folder.

    Raises
    ------
    FolderInUse
        When another process holds the lock.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)
        self._lock_fd = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock_fd)
            raise FolderInUse(f"{path} is in use by another process") from exc
        self._fds: dict[str, int] = {}

    def names(self) -> list[str]:
        return [entry.name for entry in self._path.iterdir() if entry.name != LOCK_NAME]

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    async def append(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._append, name, data)

    def _append(self, name: str, data: bytes) -> None:
        if name not in self._fds:
            self._fds[name] = os.open(self._path / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
            self._sync_folder()
        _write_all(self._fds[name], data)
        os.fdatasync(self._fds[name])

    async def replace(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._replace, name, data)

    def _replace(self, name: str, data: bytes) -> None:
        temp_path = self._path / f"{name}.part"
        fd = os.open(temp_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temp_path, self._path / name)
        # Without this sync a power cut can undo the rename: the old file is back although the
        # new one was acknowledged.
        self._sync_folder()
        self._close_file(name)

    def truncate(self, name: str, size: int) -> None:
        self._close_file(name)
        with open(self._path / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def remove(self, name: str) -> None:
        self._close_file(name)
        (self._path / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close the open files and release the lock."""
        for name in list(self._fds):
            self._close_file(name)
        os.close(self._lock_fd)

    def _close_file(self, name: str) -> None:
        fd = self._fds.pop(name, None)
        if fd is not None:
            os.close(fd)

    def _sync_folder(self) -> None:
        fd = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
