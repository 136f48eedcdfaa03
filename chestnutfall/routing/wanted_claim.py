"""A claim as a gateway asks for it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WantedClaim:
    """The one run of what a caller asked under a key.

    Attributes
    ----------
    body_digest : str
        Digest of what was asked, from `requests.digest_of`.
    attempt_id : str
        Chosen by the gateway for this attempt alone.
    """

    caller: str
    key: str
    body_digest: str
    attempt_id: str
    retention_ms: int
