"""Group commit: a single writer for all records that a replica stores."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from .errors import StorageFailed
from .storage import Record, Storage, StoredState


class Journal:
    """Batches the records of concurrent `write` calls into one sync.

    Records reach the disk in the order of the calls. All records that are queued during a sync
    share the next one.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._pending: list[Record | StoredState] = []
        self._synced: asyncio.Future[None] | None = None
        self._wake = asyncio.Event()

    def write(self, records: Iterable[Record | StoredState] = ()) -> asyncio.Future[None]:
        """Queue `records`; the returned future is done when they and all before them are synced.

        Without records, it waits for those already queued. The future fails with `StorageFailed`
        when the write or sync failed.
        """
        self._pending.extend(records)
        if self._synced is None:
            self._synced = asyncio.get_running_loop().create_future()
            self._wake.set()
        # Many callers wait for the same sync. Without the shield, cancelling one of them (a call
        # past its deadline) would cancel the shared future, and with it a campaign or the
        # replication to a healthy follower, without any error.
        shielded = asyncio.shield(self._synced)
        shielded.add_done_callback(_retrieve_exception)
        return shielded

    async def run(self) -> None:
        """Write and sync batch after batch, until cancelled.

        Raises
        ------
        OSError
            When a write or sync failed; the futures of all queued records fail first.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._pending = self._pending, []
            synced, self._synced = self._synced, None
            try:
                await self._write_batch(batch)
            except OSError as exc:
                # A failed fsync may drop the pages that it could not write, and the next fsync
                # then reports success: an acknowledged entry would be missing after a restart.
                # So there is no retry: the replica stops, and restarts from what is on disk.
                self._fail(exc, synced)
                raise
            if synced is not None and not synced.done():
                synced.set_result(None)

    async def _write_batch(self, batch: list[Record | StoredState]) -> None:
        records: list[Record] = []
        for item in batch:
            if not isinstance(item, StoredState):
                records.append(item)
                continue
            records.clear()  # `item` is the whole state and includes the records before it
            await self._storage.save(item)
        if records:
            await self._storage.append(tuple(records))

    def _fail(self, exc: OSError, synced: asyncio.Future[None] | None) -> None:
        for fut in (synced, self._synced):
            if fut is not None and not fut.done():
                fut.set_exception(StorageFailed(str(exc)))
                fut.exception()


def _retrieve_exception(fut: asyncio.Future[None]) -> None:
    """Keep asyncio from logging a failure as never retrieved; `run` raises it."""
    if not fut.cancelled():
        fut.exception()
