"""Request for a claim."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request for the right to run a caller's request once.

    Attributes
    ----------
    caller : str
        Name of the caller.
    key : str
        The caller's idempotency key.
    body_digest : str
        Digest of path and body, from `requests.digest_of`; tells a repeat from another use of the
        key.
    attempt_id : str
        Id of this attempt, unique to it.
    retention_ms : int
        How long the claim is kept after it was taken.
    """

    caller: str
    key: str
    body_digest: str
    attempt_id: str
    retention_ms: int
