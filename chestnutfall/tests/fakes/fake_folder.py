"""A data folder in memory whose disk can fail."""

from __future__ import annotations

import errno
import random

from ...clock import Clock
from ...consensus.folder import Folder

SYNC_MS = 3


class FakeFolder(Folder):
    """Keeps only synced data; a crash may leave a prefix of the append in progress.

    Attributes
    ----------
    fail_with : int or None
        errno with which every write fails; None while the disk works.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.files: dict[str, bytes] = {}
        self.fail_with: int | None = None
        self._clock = clock
        self._rng = rng
        self._writing: tuple[str, bytes] | None = None

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    async def append(self, name: str, data: bytes) -> None:
        self._writing = (name, data)
        await self._clock.sleep_ms(SYNC_MS)
        if self.fail_with is not None:
            self._tear()
            raise OSError(self.fail_with, errno.errorcode[self.fail_with])
        self.files[name] = self.files.get(name, b"") + data
        self._writing = None

    async def replace(self, name: str, data: bytes) -> None:
        await self._clock.sleep_ms(SYNC_MS)
        if self.fail_with is not None:
            raise OSError(self.fail_with, errno.errorcode[self.fail_with])
        self.files[name] = data

    def truncate(self, name: str, size: int) -> None:
        self.files[name] = self.files[name][:size]

    def remove(self, name: str) -> None:
        self.files.pop(name, None)

    def crash(self) -> None:
        """Simulate a power loss: an append in progress leaves a random prefix of its data."""
        self._tear()
        self.fail_with = None

    def _tear(self) -> None:
        if self._writing is not None:
            name, data = self._writing
            part = data[: self._rng.randrange(len(data) + 1)]
            self.files[name] = self.files.get(name, b"") + part
            self._writing = None
