"""The exclusive right to run one non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ClaimStatus(Enum):
    """What is known of the run that a claim permits."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim that is committed to the log.

    Attributes
    ----------
    attempt_id : str
        Attempt that holds the claim. Only this attempt may run the request, and end or release the
        claim.
    session : str
        Session of the gateway that made the attempt.
    body_digest : str
        Digest of the request body. It tells a repeated request from another one under the same
        idempotency key.
    status : ClaimStatus
        Last known status of the run.
    expires_ms : int
        Log time from which the claim may be dropped.
    """

    attempt_id: str
    session: str
    body_digest: str
    status: ClaimStatus
    expires_ms: int
