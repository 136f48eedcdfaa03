"""The way back of a begun stream to an upstream whose run it leaves."""

from __future__ import annotations

from ..clock import Clock
from .progress import MAX_SENDS, Progress
from .relayed_send import RelayedSend
from .repeats import Repeats
from .silent_upstreams import lasting_ms

NO_WAY_BACK = "no_way_back"
HAS_MOVED = "has_moved"
"""Reasons to stay at a silent upstream."""


class WayBack:
    """Keeps a repeat with which a stream can go back to an upstream that it leaves.

    The upstream that is left may be sound, and the next one may refuse, fail or hang. The repeat is
    taken before the run ends: by the time it is needed, other calls may have used the budget. It is
    given back when the next upstream writes an event, or when the call ends.
    """

    def __init__(self, repeats: Repeats, clock: Clock) -> None:
        self._repeats = repeats
        self._clock = clock

    def keep(self, progress: Progress, newest: RelayedSend) -> str:
        """Keep a repeat to go back from `newest`; return why none is kept, empty if it is.

        Called before the older run ends, so that the call can go back from `newest` to its
        upstream. There is no way back if the budget has no repeat or the call no send left, or if
        the deadline comes before `newest` would be known to hang, and then the other upstream would
        usually have written.
        A call that kept one and got no event since does not move again: of upstreams that are all
        slow, each would be left shortly before it begins.
        """
        if progress.way_back_ms is not None:
            return HAS_MOVED
        now_ms = self._clock.now_ms()
        back_ms = lasting_ms(newest.usual_ms) - newest.silent_ms + newest.usual_ms
        if progress.sends >= MAX_SENDS or now_ms + back_ms > progress.until_ms:
            return NO_WAY_BACK
        if not self._repeats.spend_for_silence(progress.service):
            return NO_WAY_BACK
        progress.way_back_ms = now_ms
        return ""

    def is_all(self, progress: Progress) -> bool:
        """Whether the kept repeat is all that the call has: it may only go back with its next send.

        So it is if the budget has no other repeat, or if the next send is the last.
        """
        if not _has_way_back(progress):
            return False
        return _is_last(progress) or not self._repeats.has_for_silence(progress.service)

    async def spend(self, progress: Progress, upstream_is_busy: bool) -> bool:
        """Take a repeat for a call that has no send; return False if there is none.

        It comes from the budget. Else it is the one that is kept, and the call goes back with it.

        Parameters
        ----------
        upstream_is_busy : bool
            Whether the previous send ended because its upstream is overloaded.
        """
        if not _has_way_back(progress):
            return await self._repeats.spend(progress.service, upstream_is_busy)
        # True: the leader is not asked. A call that can go back borrows no repeat to go elsewhere.
        if not _is_last(progress) and await self._repeats.spend(progress.service, True):
            return True
        progress.goes_back = self.use(progress)
        return progress.goes_back

    def use(self, progress: Progress) -> bool:
        """Use the repeat to go back; return False if none is kept."""
        if not _has_way_back(progress):
            return False
        progress.way_back_ms = None
        return True

    def give_back(self, progress: Progress) -> None:
        """Return the repeat to the budget, if one is kept."""
        if progress.way_back_ms is not None:
            self._repeats.refund_kept(progress.service, progress.way_back_ms)
            progress.way_back_ms = None


def _has_way_back(progress: Progress) -> bool:
    return progress.way_back_ms is not None and bool(progress.overtaken)


def _is_last(progress: Progress) -> bool:
    """Whether the next send is the last one of the call."""
    return progress.sends + 1 >= MAX_SENDS
