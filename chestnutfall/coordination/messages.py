"""The closed union of messages between a gateway and the leading controller."""

from __future__ import annotations

from dataclasses import dataclass

from ..concurrency.messages import EndTurn, RoomInForce, RunningCalls, ShortageReport
from ..concurrency.turn_messages import AnswerTurn, AskTurn
from ..control.crash_messages import AnsweredParts, AnsweredRun, BrokenRun, SuspectRequests
from ..control.upstream_record import UpstreamRecord
from ..limits.messages import HeardLimit, LimitsInForce
from ..paths.leader_messages import CanHelp, HelperGateways, HelpersByUpstream, LinkReport
from ..placement import Grant, PlaceRequest, Reject
from ..placement.run_times import NO_TIMES, RunTimes
from ..quota.messages import AnswerQuota, AskQuota, QuotaNews, UsedQuota, WasShort
from ..resumption.messages import AnswerOrigin, AskOrigin, HeardOrigins
from ..signals.engine_loads import EngineLoads
from ..signals.messages import BackoffHints, HeardBackoff, HeardRejections, RejectionsInForce
from ..wire import Codec

FLEET_METHOD = "Fleet"
PULSE_MS = 150
"""Interval of pulses. A gateway assumes that the leader has failed after three times this without
any message. By then a successor of a frozen or cut-off leader is elected, so requests don't wait
for the detection and then for the election."""


@dataclass(frozen=True, slots=True)
class GatewayHello:
    """First message of a gateway's stream.

    Attributes
    ----------
    gateway : str
        Name of the gateway.
    document_version : int
        Version of the document that the gateway holds.
    helper_address, data_centre : str
        Where it takes calls of gateways that are cut off, and its data centre; empty if it takes
        none.
    known_gateways : int
        Number of gateways that it knew under the last leader; 0 if there was none.
    suspect_parts : tuple of str
        Prompt parts that the last leader suspected to end engines, or that this gateway saw in an
        end since. A leader suspects them before it places anything for this gateway.
    """

    gateway: str
    document_version: int
    helper_address: str = ""
    data_centre: str = ""
    known_gateways: int = 0
    suspect_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NotLeading:
    """This controller can't serve the stream.

    Attributes
    ----------
    leader : str
        Address of the leader; empty if unknown.
    """

    leader: str


@dataclass(frozen=True, slots=True)
class PutInForce:
    """A configuration document that the gateway has to put in force.

    Attributes
    ----------
    version : int
        Version of the document.
    content : bytes
        The document, compressed.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class UpstreamsPart:
    """Part of the list of all serving upstreams.

    Attributes
    ----------
    content : bytes
        Compressed records.
    begins : bool
        Whether this is the first part. The previous list stays in use until the last part has
        arrived.
    complete : bool
        Whether this is the last part.
    mixed : tuple of str
        Services that have had several builds lately.
    """

    content: bytes
    begins: bool
    complete: bool
    mixed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamsChange:
    """Change of the serving upstreams since the previous message.

    Attributes
    ----------
    added : tuple of UpstreamRecord
        New upstreams, and new records of known ones.
    dropped : tuple of str
        Instances that no longer serve.
    content : bytes
        Compressed records in place of `added` if there are many; otherwise empty.
    mixed : tuple of str
        Services that have had several builds lately, all of them.
    """

    added: tuple[UpstreamRecord, ...]
    dropped: tuple[str, ...]
    content: bytes = b""
    mixed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Controllers:
    """The controllers.

    Attributes
    ----------
    addresses : tuple of str
        Addresses of all of them.
    reads_loads : bool
        Whether the leader understands `EngineLoads`. One of an earlier release ends a stream with a
        message that it doesn't know.
    """

    addresses: tuple[str, ...]
    reads_loads: bool = False


@dataclass(frozen=True, slots=True)
class GatewayCount:
    """Number of gateways that have a stream to the leader."""

    gateways: int


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """Change of the adapters that one engine holds for one base model.

    Grouped by engine and model, because their names would otherwise be most of the traffic.

    Attributes
    ----------
    instance : str
        Incarnation of the engine.
    model : str
        Base model.
    added : dict of str to int
        Versions by added adapter.
    dropped : tuple of str
        Dropped adapters.
    """

    instance: str
    model: str
    added: dict[str, int]
    dropped: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HoldingsChange:
    """Change of the adapters that engines hold.

    Attributes
    ----------
    whole : bool
        Whether the message replaces all holdings that were sent before.
    engines : tuple of EngineHoldings
        Changes by engine and base model.
    """

    whole: bool
    engines: tuple[EngineHoldings, ...]


@dataclass(frozen=True, slots=True)
class Pulse:
    """Keeps a stream alive while there is nothing else to send.

    From the controller, it also confirms that the sender still leads.
    """


@dataclass(frozen=True, slots=True)
class PlaceStream:
    """A request for a place for a resumable stream of a service with several builds.

    Attributes
    ----------
    attempt : str
        Id of the client's attempt.
    owner : str
        Digest of its caller; see `stream_owner`.
    left_ms : int
        Time until its client gives the stream up.
    build_key : str
        Software that the engine must run; empty for a stream that begins.
    """

    req: PlaceRequest
    attempt: str
    owner: str
    left_ms: int
    build_key: str = ""


@dataclass(frozen=True, slots=True)
class Release:
    """A placed request ended.

    Attributes
    ----------
    ticket : str
        The request.
    outcome : str
        Value of a `RunOutcome`.
    times : RunTimes
        Measured times of the run.
    """

    ticket: str
    outcome: str
    times: RunTimes = NO_TIMES


@dataclass(frozen=True, slots=True)
class SilentRun:
    """The engine of a placed request is silent for longer than others; the request goes on.

    Attributes
    ----------
    ticket : str
        The request.
    """

    ticket: str


@dataclass(frozen=True, slots=True)
class RunningSend:
    """A request that runs on an engine."""

    req: PlaceRequest
    instance: str


@dataclass(frozen=True, slots=True)
class RunningSends:
    """All requests of a gateway that run on engines that bear few rejections, for a new leader."""

    sends: tuple[RunningSend, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A request is no longer wanted."""

    ticket: str


@dataclass(frozen=True, slots=True)
class AskRepeat:
    """A gateway that has used its own share of repeats asks for one more for a service.

    Attributes
    ----------
    number : int
        Identifies the question in its answer.
    service : str
        Service that the request would be sent to again.
    """

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class AnswerRepeat:
    """Answer to an `AskRepeat`.

    Attributes
    ----------
    number : int
        Number of the question.
    given : bool
        Whether the repeat is granted.
    """

    number: int
    given: bool


GatewayMessage = (
    PlaceRequest
    | PlaceStream
    | Release
    | Withdraw
    | AskOrigin
    | AskRepeat
    | AskQuota
    | AskTurn
    | CanHelp
    | LinkReport
    | EndTurn
    | EngineLoads
    | HeardBackoff
    | HeardLimit
    | HeardOrigins
    | HeardRejections
    | RunningCalls
    | RunningSends
    | ShortageReport
    | SilentRun
    | UsedQuota
    | WasShort
    | BrokenRun
    | AnsweredParts
    | AnsweredRun
)
"""Messages that a gateway sends after its first one."""

FLEET_CODEC = Codec(
    AnsweredParts,
    AnsweredRun,
    AnswerOrigin,
    AnswerQuota,
    AnswerRepeat,
    AnswerTurn,
    AskOrigin,
    AskQuota,
    AskRepeat,
    AskTurn,
    BackoffHints,
    BrokenRun,
    CanHelp,
    LinkReport,
    Controllers,
    EndTurn,
    EngineLoads,
    GatewayCount,
    GatewayHello,
    Grant,
    HeardBackoff,
    HeardLimit,
    HeardOrigins,
    HeardRejections,
    HelperGateways,
    HelpersByUpstream,
    HoldingsChange,
    LimitsInForce,
    NotLeading,
    Reject,
    PlaceRequest,
    PlaceStream,
    Pulse,
    PutInForce,
    QuotaNews,
    RejectionsInForce,
    Release,
    RoomInForce,
    RunningCalls,
    RunningSends,
    ShortageReport,
    SilentRun,
    SuspectRequests,
    UpstreamsChange,
    UpstreamsPart,
    UsedQuota,
    WasShort,
    Withdraw,
)
