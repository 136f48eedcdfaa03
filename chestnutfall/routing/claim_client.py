"""Claims on the controllers for requests that must run at most once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..clock.cancelled import was_cancelled
from ..control.claim import ClaimStatus
from ..control.commands import ClaimHeld, ClaimTaken, EndClaim, TakeClaim
from ..control.control_client import ControlClient, NoController
from ..requests import Executed, Refusal
from ..requests.awaited import Unawaited
from .claim_request import ClaimRequest

log = logging.getLogger(__name__)
CLAIM_DEADLINE_MS = 2500
END_DEADLINE_MS = 30_000
RETRY_AFTER_MS = 1000


class ClaimClient:
    """Takes a claim before a non-idempotent request is dispatched, and ends it afterwards."""

    def __init__(self, client: ControlClient, session: str) -> None:
        self._client = client
        self._session = session
        self._ending: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def held(self, req: ClaimRequest) -> AsyncIterator[None]:
        """Hold a claim while the request runs inside the context, and record how the run ended.

        The claim is released if the run ends with a Refusal that states that nothing ran, or if the
        request wasn't sent since its client had left.

        Raises
        ------
        Refusal
            When the claim could not be taken; nothing was run.
        """
        await self.take(req)
        status: ClaimStatus | None = ClaimStatus.UNKNOWN
        try:
            yield
            status = ClaimStatus.DONE
        except Refusal as refusal:
            if refusal.executed is Executed.NO:
                status = None
            raise
        except Unawaited:
            status = None
            raise
        finally:
            self.end(req, status)

    async def take(self, req: ClaimRequest) -> None:
        """Take a claim; return once it is committed.

        Raises
        ------
        Refusal
            When another attempt holds the claim, or no quorum confirmed it; nothing was run.
        """
        msg = TakeClaim(
            req.caller,
            req.key,
            req.body_digest,
            req.attempt_id,
            self._session,
            req.retention_ms,
        )
        try:
            reply = await self._client.ask(msg, CLAIM_DEADLINE_MS)
        except (Exception, asyncio.CancelledError) as exc:
            # The claim may have been committed although no answer came. Nothing was dispatched, so
            # it is released. Until the release is committed, a repeat gets the answer that the
            # state is unknown.
            self.end(req, None)
            if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                raise
            if not isinstance(exc, NoController):
                log.error("claims: a claim could not be taken", exc_info=exc)
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
                raise _refusal_for_held_claim(claim.status, claim.body_digest == req.body_digest)
            case _:
                raise Refusal(400, "bad_idempotency_key", str(reply))

    def end(self, req: ClaimRequest, status: ClaimStatus | None) -> None:
        """Record in the background how the attempt ended; a `status` of None releases the claim."""
        task = asyncio.ensure_future(
            self._end(EndClaim(req.caller, req.key, req.attempt_id, status))
        )
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end(self, msg: EndClaim) -> None:
        try:
            await self._client.ask(msg, END_DEADLINE_MS)
        except (Exception, asyncio.CancelledError) as exc:
            if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                raise
            log.warning(
                "claims: the end of attempt %s was not recorded, its state stays unknown: %r",
                msg.attempt_id,
                exc,
            )

    async def close(self) -> None:
        """Wait until the ends of all attempts are recorded."""
        await asyncio.gather(*self._ending, return_exceptions=True)


def _refusal_for_held_claim(status: ClaimStatus, same_body: bool) -> Refusal:
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
