"""Which upstreams may run a call, and the choice of those whose run was left for another one.

The run of a begun stream is left soon after a second one was sent, so that no two engines work on
the stream side by side. It may have been sound: where the second one refuses, is lost or hangs, the
stream is taken up at the first one again, behind the last event that the client has.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from ..routes import Route
from .place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from .progress import Progress

NO_ATTEMPT = "no_attempt"
NO_ATTEMPT_RETRY_MS = 500


def has_attempt(progress: Progress, route: Route, live: Collection[str] = ()) -> bool:
    """Whether one more upstream may run the call.

    Parameters
    ----------
    live : collection of str
        Instances that work on the call.
    """
    if progress.goes_back:
        return False
    added = sum(one not in progress.overtaken for one in live)
    return progress.attempts + added < route.attempts


def overtaken(progress: Progress, live: Collection[str] = ()) -> tuple[str, ...]:
    """Return the instances at which the call may be taken up again."""
    return tuple(one for one in progress.overtaken if one not in live)


async def select_place(
    selector: UpstreamSelector,
    criteria: SelectionCriteria,
    progress: Progress,
    live: Sequence[str] = (),
    goes_back: bool = True,
) -> Place:
    """Select an upstream; one that was overtaken is the second choice.

    Parameters
    ----------
    live : sequence of str
        Instances that work on the call.
    goes_back : bool
        Whether the call may be taken up at an upstream that was overtaken.

    Raises
    ------
    NoPlace
        When no upstream can take the call in time, or none may run it.
    """
    again = overtaken(progress, live)
    criteria = replace(criteria, avoid=(*criteria.avoid, *live))
    if not again:
        return await selector.select(criteria)
    if has_attempt(progress, criteria.route, live):
        place = await _select_new(selector, criteria, again, goes_back)
        if place is not None:
            return place
    place = await selector.select(replace(criteria, only=again))
    if place.upstream.instance in again:
        return place
    # Leaders take what is to be avoided for a wish.
    selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)
    raise NoPlace(NO_ATTEMPT, NO_ATTEMPT_RETRY_MS)


async def _select_new(
    selector: UpstreamSelector,
    criteria: SelectionCriteria,
    again: tuple[str, ...],
    goes_back: bool,
) -> Place | None:
    """Select an upstream that was not overtaken; None to go back to one that was."""
    all_avoided = replace(criteria, avoid=(*criteria.avoid, *again))
    try:
        place = await selector.select(all_avoided)
    except NoPlace:
        if not goes_back:
            raise
        return None
    if place.upstream.instance not in all_avoided.avoid:
        return place
    if goes_back and place.upstream.instance in again:
        return place
    selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)
    if not goes_back:
        raise NoPlace("no_other", NO_ATTEMPT_RETRY_MS)
    return None
