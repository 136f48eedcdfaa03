"""Messages about the room of plain services between gateways and the leader."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..signals.upstream_load import UpstreamLoad


@dataclass(frozen=True, slots=True)
class EndTurn:
    """A call with a turn ended, or no longer waits for one.

    Attributes
    ----------
    number : int
        Number of the question that the turn answered.
    instance : str
        Upstream of the turn; empty if the call has none yet.
    outcome : str
        Value of a `RunOutcome`.
    run_ms : float
        Time from the send to the end of the answer; 0 without an answer.
    load : UpstreamLoad or None
        Load that the upstream reported with its answer.
    """

    number: int
    instance: str
    outcome: str
    run_ms: float = 0.0
    load: UpstreamLoad | None = None


@dataclass(frozen=True, slots=True)
class ShortageReport:
    """A gateway saw that an upstream of a service has less room than calls.

    Attributes
    ----------
    load : UpstreamLoad or None
        Load in the upstream's answer.
    refused : bool
        Whether the upstream refused a call for lack of room.
    run_ms : float
        Usual time of a call there, as the gateway learned it; 0 if unknown.
    """

    service: str
    instance: str
    load: UpstreamLoad | None
    refused: bool
    run_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RunningCalls:
    """Calls of a gateway at the upstreams of a service that is short of room.

    Attributes
    ----------
    running : dict of str to int
        Number of calls by instance.
    run_ms : float
        Usual time of a call, as the gateway learned it; 0 if unknown.
    places : dict of str to int
        Places of each upstream, as the last leader told them.
    """

    service: str
    running: dict[str, int]
    run_ms: float = 0.0
    places: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceRoomState:
    """Whether a service is short of room, and its room if it is.

    Attributes
    ----------
    places : dict of str to int
        Calls that each upstream runs at once; empty if the service has plenty.
    """

    service: str
    short: bool
    places: dict[str, int]


@dataclass(frozen=True, slots=True)
class RoomInForce:
    """The leader informs gateways which services became short of room, or have plenty again."""

    services: tuple[ServiceRoomState, ...]
