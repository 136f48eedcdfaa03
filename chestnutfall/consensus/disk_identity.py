"""The replica identity that is stored in a data folder."""

from __future__ import annotations

import uuid

from .file_storage import FileStorage
from .folder import Folder
from .member import Member

IDENTITY_NAME = "identity"


def read_identity(folder: Folder) -> str:
    """Return the replica identity stored in a folder that is in use."""
    return folder.read(IDENTITY_NAME).decode()


async def bootstrap_founder(
    folder: Folder, storage: FileStorage, replica_id: str, members: tuple[Member, ...]
) -> None:
    """Initialise an empty folder for `replica_id`, a founding member of a new group.

    `members` is the first membership of the group, the same on every founder.
    """
    await folder.replace(IDENTITY_NAME, replica_id.encode())
    await storage.bootstrap(members)


async def assign_new_identity(folder: Folder, storage: FileStorage, name: str) -> str:
    """Initialise an empty folder with a new, unique identity and return it.

    The replica starts without a membership and takes part once the group has added it.
    """
    # A host that lost its disk has also lost the record of its votes. Under its old identity it
    # could vote twice in one term, and two leaders would be elected. A folder that holds an
    # identity but no log counts as lost too.
    new_id = f"{name}-{uuid.uuid4().hex[:8]}"
    await folder.replace(IDENTITY_NAME, new_id.encode())
    await storage.bootstrap(())
    return new_id
