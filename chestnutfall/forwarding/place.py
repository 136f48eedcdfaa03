"""Upstream selection for one send: criteria, result and interface."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..control.upstream_record import UpstreamRecord
from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..resumption import StreamOrigin
from ..routes import Route, ServiceSpec
from ..signals import UpstreamLoad
from .call import Call


class NoPlace(Exception):
    """No upstream can take the call in time; nothing ran.

    Attributes
    ----------
    reason : str
        Machine-readable cause.
    retry_after_ms : int
        Time after which the client may try again.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class Place:
    """The upstream selected for one send.

    Attributes
    ----------
    ticket : str
        Id of this selection; unique across gateways if the leader made it.
    version : int
        Version of the adapter that the engine must hold; 0 accepts any.
    queued_ms, loading_ms : int
        Time spent waiting for the engine and then for the adapter; for the logs.
    has_other : bool
        Whether another upstream of the service could take the call instead.
    is_recorded : bool
        Whether the leader has recorded what the call's stream begins on.
    """

    ticket: str
    upstream: UpstreamRecord
    version: int
    queued_ms: int = 0
    loading_ms: int = 0
    has_other: bool = True
    is_recorded: bool = False


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """What the selected upstream must meet.

    Attributes
    ----------
    avoid : tuple of str
        Instances that failed this call before.
    until_ms : int
        Clock time after which the answer is worthless.
    started : bool
        Whether the client has the beginning of its answer.
    lacked_adapter : tuple of str
        Instances that refused this call once, since its adapter was not loaded yet.
    organisation : str
        Organisation that sent the call; empty if the route needs no key.
    request : str
        Digest of the call, the same when its client sends it again; empty if unknown.
    needs_room : bool
        Whether the service is short of room, so that a turn has to hold a place.
    origin : StreamOrigin or None
        What the upstream must run, as the call goes on with a stream; None for any.
    is_mixed : bool
        Whether the service has had several builds lately.
    needs_leader : bool
        Whether only a leader may select, as without one it is not sure that any build will do, or
        which other engines run what an engine ended under.
    only : tuple of str
        Instances that may run the call, as no further one may; empty for any.
    """

    call: Call
    route: Route
    service: ServiceSpec
    avoid: tuple[str, ...]
    until_ms: int
    started: bool = False
    lacked_adapter: tuple[str, ...] = ()
    organisation: str = ""
    request: str = ""
    needs_room: bool = False
    origin: StreamOrigin | None = None
    is_mixed: bool = False
    needs_leader: bool = False
    only: tuple[str, ...] = ()

    def allows(self, upstream: UpstreamRecord) -> bool:
        """Whether an upstream runs what the call needs, and may run the call."""
        if self.only and upstream.instance not in self.only:
            return False
        return self.origin is None or self.origin.includes(upstream)


class UpstreamSelector(ABC):
    """Selects upstreams for calls and learns from how the sends end.

    Each selected place must be passed to `release` exactly once.
    """

    @abstractmethod
    async def select(self, criteria: SelectionCriteria) -> Place:
        """Select an upstream.

        Raises
        ------
        NoPlace
            When no upstream can take the call in time.
        """

    @abstractmethod
    def held_back_ms(self, service: str) -> float:
        """Return the time until an upstream of a service accepts work from this gateway.

        0 if one accepts work now or there is none; infinite if all of them are leaving.
        """

    def note_load(self, place: Place, load: UpstreamLoad) -> None:  # noqa: B027
        """Record the load that an answer reported when it began, long before the send ends."""

    def note_silent(self, place: Place) -> None:  # noqa: B027
        """Record that an upstream is silent for longer than others, while its send goes on."""

    @abstractmethod
    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        """Release a place after its send.

        Parameters
        ----------
        outcome : RunOutcome
            How the send ended; `WITHDRAWN` if nothing was sent.
        times : RunTimes
            How fast the upstream answered.
        load : UpstreamLoad or None
            Load that the upstream reported with its answer.
        """
