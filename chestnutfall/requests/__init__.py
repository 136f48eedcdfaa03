"""A caller's request, its digests, and its refusal."""

from __future__ import annotations

from .caller_request import CallerRequest
from .digest import digest_of, fingerprint_of
from .executed import NOT_RUN_STATUSES, Executed
from .key_digest import key_digest
from .part_keys import part_keys, short_id
from .refusal import Refusal
from .unknown_key import unknown_key

__all__ = [
    "NOT_RUN_STATUSES",
    "CallerRequest",
    "Executed",
    "Refusal",
    "digest_of",
    "fingerprint_of",
    "key_digest",
    "part_keys",
    "short_id",
    "unknown_key",
]
