"""One writer for all that a replica stores, in order and in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from .errors import StorageFailed
from .storage import Record, Storage, Stored


class Journal:
    """Group records of many callers into one sync.

    Records reach the disk in the order of the calls. Everything that arrives while one sync is
    under way shares the next one.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._pending: list[Record | Stored] = []
        self._synced: asyncio.Future[None] | None = None
        self._wake = asyncio.Event()

    def write(self, records: Iterable[Record | Stored] = ()) -> asyncio.Future[None]:
        """Queue `records`; the future ends when they and all before them are synced."""
        self._pending.extend(records)
        if self._synced is None:
            self._synced = asyncio.get_running_loop().create_future()
            self._wake.set()
        # Many callers wait for one sync. Cancelling one of them (a call that ran into its
        # deadline) would cancel the future that all of them wait for. Symptom: a campaign or a
        # leader's link to a healthy follower ends without a word. The shield keeps it theirs.
        mine = asyncio.shield(self._synced)
        mine.add_done_callback(_mark_seen)
        return mine

    async def run(self) -> None:
        """Write batch after batch; ends only by cancellation or a failing disk."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._pending = self._pending, []
            synced, self._synced = self._synced, None
            try:
                await self._write_batch(batch)
            except OSError as exc:
                # A sync that failed may have dropped the pages it could not write, and a second
                # sync then reports success. Symptom: an acknowledged entry is missing after a
                # restart. So nothing is retried: the replica stops and is read back from disk.
                self._fail(exc, synced)
                raise
            if synced is not None and not synced.done():
                synced.set_result(None)

    async def _write_batch(self, batch: list[Record | Stored]) -> None:
        records: list[Record] = []
        for item in batch:
            if not isinstance(item, Stored):
                records.append(item)
                continue
            records.clear()  # `item` holds the whole state, these records included
            await self._storage.save(item)
        if records:
            await self._storage.append(tuple(records))

    def _fail(self, exc: OSError, synced: asyncio.Future[None] | None) -> None:
        for fut in (synced, self._synced):
            if fut is not None and not fut.done():
                fut.set_exception(StorageFailed(str(exc)))
                fut.exception()


def _mark_seen(fut: asyncio.Future[None]) -> None:
    """Keep asyncio from reporting a failure that `run` reports already."""
    if not fut.cancelled():
        fut.exception()
