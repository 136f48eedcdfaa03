"""Final answers to calls that get none from an upstream."""

from __future__ import annotations

from ..requests import Executed
from .caller_reply import CallerReply
from .progress import Progress
from .request_end import BrokenOff, Refused


class FinalAnswers:
    """Ends admitted calls that get no answer from an upstream."""

    async def give_up(
        self,
        progress: Progress,
        reply: CallerReply,
        status: int,
        reason: str,
        retry_after_ms: int | None,
    ) -> None:
        """End a call without an upstream's answer.

        A streamed answer that has begun is broken off. Otherwise the client gets a refusal whose
        status is valid for all sends of the call together, so it may differ from `status`.
        """
        if progress.started:
            reply.break_off(BrokenOff(reason))
            return
        # A status that states "not run" must hold for every send, not just for the last one.
        # Otherwise the client repeats a request that an earlier send did run.
        executed = Executed.UNKNOWN if progress.may_have_run else Executed.NO
        if status == 503 and executed is not Executed.NO:
            status = 502
        if status == 504 and not progress.may_have_run:
            status = 503
        await reply.refuse(Refused(status, reason, executed, retry_after_ms))
