"""The right to run one non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ClaimStatus(Enum):
    """What is known of the run that a claim allowed."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """A committed claim.

    Attributes
    ----------
    attempt_id : str
        The attempt that holds it; only this one may run, finish or release.
    session : str
        Session of the gateway that made the attempt.
    body_digest : str
        Digest of what was asked, to tell a repeat from another use of the same key.
    expires_ms : int
        Log time after which it may be forgotten.
    """

    attempt_id: str
    session: str
    body_digest: str
    status: ClaimStatus
    expires_ms: int
