"""What the streams of this gateway's calls began on, and where those that it resumes may go on."""

from __future__ import annotations

import asyncio

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..resumption import (
    BEGIN_ANEW_MS,
    STREAM_MOVED,
    UNKNOWN_STREAM,
    OriginBook,
    StreamOrigin,
    remembered_attempt,
    stream_owner,
)
from ..resumption.messages import HeardOrigin, HeardOrigins
from ..routes import Route
from .fleet_client import FleetClient
from .leader_questions import LeaderLost
from .place import NoPlace
from .progress import Progress

MAX_ORIGINS = 4_096
"""A minute of streams of a busy gateway; about 2 MB."""
LEADERLESS_WAIT_MS = 1_500
"""Longest wait of a call for a new leader, if its deadline allows. An election takes about a
second."""
NO_LEADER_RETRY_MS = 800
"""Retry delay for clients while there is no leader; a leader is elected within this time."""
TRUSTED_MS = 1_000
"""How long after the loss of its leader a gateway still knows which builds run: an upstream that
starts again holds nothing to serve with, until the next leader orders a load."""


class StreamOrigins:
    """Lets each stream go on only at the build that began it.

    While a service has one build, nothing is recorded, sent or asked for it.
    """

    def __init__(self, fleet: FleetClient, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._book = OriginBook(MAX_ORIGINS, clock)
        self._open: dict[int, Progress] = {}
        self._mixed: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._book)

    def is_mixed(self, service: str) -> bool:
        """Whether a service has had several builds lately."""
        return service in self._fleet.knowledge.mixed

    # Streams that begin here

    def began(self, progress: Progress, upstream: UpstreamRecord, is_recorded: bool) -> None:
        """Record that an upstream wrote an event for a call, the first of this send.

        Parameters
        ----------
        is_recorded : bool
            Whether the leader recorded the stream when it granted the place.
        """
        if progress.origin is None and self._fleet.leaderless_ms <= TRUSTED_MS:
            progress.origin = StreamOrigin.of(upstream)
        if progress.origin is None:
            return
        self._open[id(progress)] = progress
        if self.is_mixed(upstream.service):
            heard = self._note(progress, progress.origin)
            if not is_recorded:
                self._fleet.send(HeardOrigins((heard,)))

    def confirm(self, progress: Progress) -> None:
        """Tell the leader again what a stream began on, after a further place was asked for.

        The leader records what the place that it granted last runs, which may have been given back.
        """
        if progress.origin is not None and self.is_mixed(progress.origin.service):
            self._fleet.send(HeardOrigins((self._note(progress, progress.origin),)))

    def ended(self, progress: Progress) -> None:
        """Forget that a call is in progress."""
        self._open.pop(id(progress), None)

    def _note(self, progress: Progress, origin: StreamOrigin) -> HeardOrigin:
        call = progress.call
        left_ms = max(call.deadline_ms - self._clock.now_ms(), 1)
        owner = stream_owner(progress.organisation, call.host)
        attempt = remembered_attempt(call.request_id)
        self._book.note(attempt, owner, origin, left_ms)
        return HeardOrigin(attempt, owner, origin, left_ms)

    def update(self) -> None:
        """Process a change of the services with several builds."""
        new = self._fleet.knowledge.mixed - self._mixed
        self._mixed = self._fleet.knowledge.mixed
        if not new:
            return
        for progress in self._open.values():
            if progress.origin is not None and progress.origin.service in new:
                self._note(progress, progress.origin)
        self._fleet.send(self._all_known())

    def reports_for_new_leader(self) -> tuple[HeardOrigins, ...]:
        """All streams that may be taken up; empty if no service has several builds."""
        if not self._fleet.connected or not self._fleet.knowledge.mixed:
            return ()
        return (self._all_known(),)

    def _all_known(self) -> HeardOrigins:
        now_ms = self._clock.now_ms()
        known = self._book.current().items()
        heard = (
            HeardOrigin(attempt, owner, one.origin, one.until_ms - now_ms)
            for (attempt, owner), one in known
        )
        return HeardOrigins(tuple(heard), is_whole=True)

    # Streams that go on here

    async def find(self, progress: Progress, route: Route, leader_places: bool = True) -> None:
        """Find out what the stream began on that a call resumes, and which service goes on with it.

        Parameters
        ----------
        leader_places : bool
            Whether the leader selects the upstream. It has told of a second build before.

        Raises
        ------
        NoPlace
            When no gateway knows the stream, or the route no longer leads to its service.
        """
        if progress.origin is not None or not progress.resumes:
            return
        # A gateway without a leader does not learn of a second build.
        await self._wait_for_leader(progress)
        services = [target.service for target in route.targets if target.weight > 0]
        if not any(self.is_mixed(service) for service in services):
            if leader_places or not progress.call.resumes:
                return
            # A gateway that was cut off or stood still may not have heard of a second build, on
            # which another gateway began the stream. It would go on at the first one. What the
            # leader told before it answers has been read by then.
            origin = await self._find(progress) or self._only_origin(progress.service)
            if not any(self.is_mixed(service) for service in services):
                progress.origin = origin
                return
        origin = await self._find(progress)
        if origin is None:
            raise NoPlace(UNKNOWN_STREAM, BEGIN_ANEW_MS)
        if origin.service not in services:
            raise NoPlace(STREAM_MOVED, BEGIN_ANEW_MS)
        progress.origin = origin
        progress.service = origin.service

    def _only_origin(self, service: str) -> StreamOrigin | None:
        """Return what all streams of a service begin on; None if its upstreams name no version."""
        origins = {StreamOrigin.of(one) for one in self._fleet.knowledge.upstreams(service)}
        only = origins.pop() if len(origins) == 1 else None
        return only if only is not None and not only.is_anonymous else None

    async def _find(self, progress: Progress) -> StreamOrigin | None:
        attempt = progress.call.resumes
        # A stream of this call itself, the first event of which came from an unknown build.
        if not attempt or progress.started:
            return None
        owner = stream_owner(progress.organisation, progress.call.host)
        known = self._book.find(attempt, owner)
        if known is not None:
            return known
        # A gateway that runs earlier software told the leader of it under the digest of the whole
        # request. Both are asked at once, since a new leader keeps each question for a while.
        owners = (owner, progress.fingerprint)
        asked = (self._ask(progress, one) for one in owners)
        answers = await asyncio.gather(*asked, return_exceptions=True)
        for answer in answers:
            if isinstance(answer, BaseException):
                raise answer
        return next((origin for origin in answers if isinstance(origin, StreamOrigin)), None)

    async def _ask(self, progress: Progress, owner: str) -> StreamOrigin | None:
        attempt = progress.call.resumes
        try:
            return await self._fleet.questions.ask_origin(attempt, owner)
        except LeaderLost:
            await self._wait_for_leader(progress)
        try:
            return await self._fleet.questions.ask_origin(attempt, owner)
        except LeaderLost as exc:
            raise NoPlace("no_leader", NO_LEADER_RETRY_MS) from exc

    async def _wait_for_leader(self, progress: Progress) -> None:
        if self._fleet.connected:
            return
        wait_ms = min(progress.until_ms - self._clock.now_ms(), LEADERLESS_WAIT_MS)
        if wait_ms <= 0 or not await self._fleet.wait_for_leader(wait_ms):
            raise NoPlace("no_leader", NO_LEADER_RETRY_MS)

    def bound_to(self, progress: Progress) -> StreamOrigin | None:
        """Return what an upstream must run to be sent a call; None if any may be."""
        origin = progress.origin
        if origin is None or (origin.is_anonymous and not self.is_mixed(origin.service)):
            return None
        return origin

    def may_send(self, progress: Progress, upstream: UpstreamRecord) -> bool:
        """Whether an upstream may be sent a call; checked last before each send.

        Its place was granted earlier. Since then the service may have got a second build, so that
        the origin of a stream that a client takes up has to be found out first.
        """
        bound_to = self.bound_to(progress)
        if bound_to is not None:
            return bound_to.includes(upstream)
        is_known = progress.origin is not None or not progress.resumes
        return is_known or not self.is_mixed(upstream.service)
