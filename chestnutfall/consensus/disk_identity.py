"""Which replica a disk belongs to."""

from __future__ import annotations

import uuid

from .file_storage import FileStorage
from .folder import Folder
from .member import Member

IDENTITY_NAME = "identity"


def identity_of(folder: Folder) -> str:
    """The identity that was written to a disk in use."""
    return folder.read(IDENTITY_NAME).decode()


async def found_group(
    folder: Folder, storage: FileStorage, replica_id: str, members: tuple[Member, ...]
) -> None:
    """Make an empty disk that of a founder of a new group."""
    await folder.replace(IDENTITY_NAME, replica_id.encode())
    await storage.bootstrap(members)


async def begin_anew(folder: Folder, storage: FileStorage, name: str) -> str:
    """Give an empty disk a new identity, which no group knows yet."""
    # A host that lost its disk has also lost its votes. Symptom if it came back under its
    # old identity: it votes a second time in one term and two leaders are elected. An
    # identity without a log beside it counts as lost too.
    fresh = f"{name}-{uuid.uuid4().hex[:8]}"
    await folder.replace(IDENTITY_NAME, fresh.encode())
    await storage.bootstrap(())
    return fresh
