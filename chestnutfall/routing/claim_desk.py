"""Claims for requests that must run at most once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..control.claim import ClaimStatus
from ..control.commands import ClaimHeld, ClaimTaken, EndClaim, TakeClaim
from ..control.control_client import ControlClient, NoController
from ..requests import Executed, Refusal
from .wanted_claim import WantedClaim

log = logging.getLogger(__name__)
CLAIM_DEADLINE_MS = 2500
END_DEADLINE_MS = 30_000
RETRY_AFTER_MS = 1000


class ClaimDesk:
    """Takes claims before dispatch and ends them after."""

    def __init__(self, client: ControlClient, session: str) -> None:
        self._client = client
        self._session = session
        self._ending: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def held(self, wanted: WantedClaim) -> AsyncIterator[None]:
        """Hold a claim for the one run inside the context, and record how it ended.

        Raises
        ------
        Refusal
            From `take`, before anything runs.
        """
        await self.take(wanted)
        status: ClaimStatus | None = ClaimStatus.UNKNOWN
        try:
            yield
            status = ClaimStatus.DONE
        except Refusal as refusal:
            if refusal.executed is Executed.NO:
                status = None
            raise
        finally:
            self.end(wanted, status)

    async def take(self, wanted: WantedClaim) -> None:
        """Return when the claim is committed.

        Raises
        ------
        Refusal
            When another attempt holds it, or no quorum confirmed it; nothing was run.
        """
        msg = TakeClaim(
            wanted.caller,
            wanted.key,
            wanted.body_digest,
            wanted.attempt_id,
            self._session,
            wanted.retention_ms,
        )
        try:
            reply = await self._client.ask(msg, CLAIM_DEADLINE_MS)
        except (NoController, asyncio.CancelledError) as exc:
            # The claim may have been committed although no answer came. Nothing was dispatched,
            # so it is released; until that is through a repeat is told that the state is unknown.
            self.end(wanted, None)
            if isinstance(exc, asyncio.CancelledError):
                raise
            raise Refusal(
                503,
                "claim_unavailable",
                "the claim for this request could not be committed",
                Executed.NO,
                RETRY_AFTER_MS,
            ) from exc
        match reply:
            case ClaimTaken():
                return
            case ClaimHeld(claim):
                raise _held(claim.status, claim.body_digest == wanted.body_digest)
            case _:
                raise Refusal(400, "bad_idempotency_key", str(reply))

    def end(self, wanted: WantedClaim, status: ClaimStatus | None) -> None:
        """Record how the attempt ended, in the background; None releases the claim."""
        task = asyncio.ensure_future(
            self._end(EndClaim(wanted.caller, wanted.key, wanted.attempt_id, status))
        )
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end(self, msg: EndClaim) -> None:
        try:
            await self._client.ask(msg, END_DEADLINE_MS)
        except NoController:
            log.warning("claims: the end of %s was not recorded; it stays unknown", msg.attempt_id)

    async def close(self) -> None:
        """Wait until all ends are recorded."""
        await asyncio.gather(*self._ending, return_exceptions=True)


def _held(status: ClaimStatus, same_body: bool) -> Refusal:
    if not same_body:
        return Refusal(
            409,
            "idempotency_key_reused",
            "this Idempotency-Key was used for a different request; this one was not run",
        )
    messages = {
        ClaimStatus.RUNNING: ("request_running", "the first request with this key is running"),
        ClaimStatus.DONE: ("request_done", "the first request with this key ran to its end"),
        ClaimStatus.UNKNOWN: (
            "request_state_unknown",
            "the first request with this key was started and its end is not known",
        ),
    }
    code, message = messages[status]
    executed = Executed.UNKNOWN if status is ClaimStatus.UNKNOWN else Executed.YES
    wait_ms = RETRY_AFTER_MS if status is ClaimStatus.RUNNING else None
    return Refusal(409, code, message, executed, wait_ms)
