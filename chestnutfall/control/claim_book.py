"""Every claim that is held, by caller and key."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .claim import Claim, ClaimStatus
from .commands import ClaimHeld, ClaimTaken, EndClaim, TakeClaim


class ClaimBook:
    """The claims of the replicated state; a function of the log alone.

    Parameters
    ----------
    entries : iterable of (caller, key, Claim)
    """

    def __init__(self, entries: Iterable[tuple[str, str, Claim]] = ()) -> None:
        self._claims = {(caller, key): claim for caller, key, claim in entries}

    def __len__(self) -> int:
        return len(self._claims)

    def entries(self) -> Iterator[tuple[str, str, Claim]]:
        """Yield caller, key and claim."""
        return ((caller, key, claim) for (caller, key), claim in self._claims.items())

    def __contains__(self, place: object) -> bool:
        return place in self._claims

    def take(self, take: TakeClaim, time_ms: int) -> ClaimTaken | ClaimHeld:
        """Give the claim to an attempt, unless another one holds it."""
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
        """Note how an attempt ended, or release its claim if it never ran."""
        place = (end.caller, end.key)
        claim = self._claims.get(place)
        if claim is None or claim.attempt_id != end.attempt_id:
            return
        if end.status is None:
            del self._claims[place]
            return
        self._claims[place] = Claim(
            claim.attempt_id, claim.session, claim.body_digest, end.status, claim.expires_ms
        )

    def expire(self, time_ms: int) -> None:
        """Forget the claims whose time is over."""
        expired = [at for at, claim in self._claims.items() if claim.expires_ms <= time_ms]
        for place in expired:
            del self._claims[place]
