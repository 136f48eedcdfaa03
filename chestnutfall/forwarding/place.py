"""An upstream chosen for one send."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..control.upstream_record import UpstreamRecord
from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..routes import Route, ServiceSpec
from ..signals import UpstreamLoad
from .call import Call


class NoPlace(Exception):
    """No upstream can take the request in time; nothing ran."""

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class Place:
    """The upstream, and the version of the adapter that it must hold; 0 is any.

    Attributes
    ----------
    queued_ms, loading_ms : int
        How long it took to get the place, and then the adapter; for the logs.
    has_other : bool
        Whether another upstream of the service could take the call instead.
    """

    ticket: str
    upstream: UpstreamRecord
    version: int
    queued_ms: int = 0
    loading_ms: int = 0
    has_other: bool = True


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a place is wanted for.

    Attributes
    ----------
    avoid : tuple of str
        Instances that failed this call before.
    too_early : tuple of str
        Instances that it came to before its adapter was there.
    until_ms : int
        Clock time after which the answer is worth nothing.
    started : bool
        Whether the caller has the beginning of its answer.
    organisation : str
        Whose call it is; empty where nobody needs a key.
    """

    call: Call
    route: Route
    service: ServiceSpec
    avoid: tuple[str, ...]
    until_ms: int
    started: bool = False
    too_early: tuple[str, ...] = ()
    organisation: str = ""


class Places(ABC):
    """Chooses upstreams for calls, and learns from how they end."""

    @abstractmethod
    async def take(self, wanted: Wanted) -> Place:
        """Choose an upstream.

        Raises
        ------
        NoPlace
        """

    @abstractmethod
    def held_back_ms(self, service: str) -> float:
        """Time until an upstream of a service takes work from this gateway; 0 if one does.

        Endless if all of them leave.
        """

    @abstractmethod
    def give_back(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        """Tell how the send ended."""
