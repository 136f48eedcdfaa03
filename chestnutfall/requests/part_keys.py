"""Names of the shared parts of prompts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from urllib.parse import quote

MAX_KEYS = 64
"""Parts of one prompt that are told apart; further ones are ignored. A prompt has a few."""
MAX_ID_CHARACTERS = 64
"""A longer id is replaced by its digest, so that names stay short."""


def part_keys(organisation: str, part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts, without repeats.

    Parameters
    ----------
    organisation : str
        Organisation of the caller, empty if the route needs no key. Equal ids of two organisations
        have different names, so that none can bring another's parts into disrepute.
    part_ids : iterable of str
        Ids of all parts in order; the last one is the request's own and has no name.
    """
    shared = tuple(part_ids)[:-1]
    names = (f"{quote(organisation, safe='')}/{short_id(part_id)}" for part_id in shared)
    return tuple(dict.fromkeys(names))[:MAX_KEYS]


def short_id(part_id: str) -> str:
    """Return the id of a part, or its digest if it is long or no plain text."""
    if len(part_id) <= MAX_ID_CHARACTERS and part_id.isascii():
        return part_id
    return hashlib.sha256(part_id.encode("utf-8", "surrogateescape")).hexdigest()
