"""All held claims, by caller and idempotency key."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .claim import Claim, ClaimStatus
from .commands import ClaimHeld, ClaimTaken, EndClaim, TakeClaim


class ClaimTable:
    """The claims of the replicated state. Its content depends on the log alone.

    Parameters
    ----------
    entries : iterable of (caller, key, Claim)
        Claims to start with.
    """

    def __init__(self, entries: Iterable[tuple[str, str, Claim]] = ()) -> None:
        self._claims = {(caller, key): claim for caller, key, claim in entries}

    def __len__(self) -> int:
        return len(self._claims)

    def entries(self) -> Iterator[tuple[str, str, Claim]]:
        """Yield caller, idempotency key and claim of each entry."""
        return ((caller, key, claim) for (caller, key), claim in self._claims.items())

    def __contains__(self, caller_and_key: object) -> bool:
        return caller_and_key in self._claims

    def take(self, take: TakeClaim, time_ms: int) -> ClaimTaken | ClaimHeld:
        """Grant the claim to an attempt unless another attempt holds it.

        The attempt that already holds the claim gets `ClaimTaken` again.
        """
        claim = self._claims.get((take.caller, take.key))
        if claim is not None and claim.attempt_id != take.attempt_id:
            return ClaimHeld(claim)
        if claim is None:
            self._claims[take.caller, take.key] = Claim(
                take.attempt_id,
                take.session,
                take.body_digest,
                ClaimStatus.RUNNING,
                time_ms + take.retention_ms,
            )
        return ClaimTaken()

    def end(self, end: EndClaim) -> None:
        """Record how an attempt ended, or release its claim if the request never ran.

        Does nothing if another attempt holds the claim.
        """
        caller_and_key = (end.caller, end.key)
        claim = self._claims.get(caller_and_key)
        if claim is None or claim.attempt_id != end.attempt_id:
            return
        if end.status is None:
            del self._claims[caller_and_key]
            return
        self._claims[caller_and_key] = Claim(
            claim.attempt_id, claim.session, claim.body_digest, end.status, claim.expires_ms
        )

    def expire(self, time_ms: int) -> None:
        """Drop the claims that have expired at log time `time_ms`."""
        expired = [at for at, claim in self._claims.items() if claim.expires_ms <= time_ms]
        for caller_and_key in expired:
            del self._claims[caller_and_key]
