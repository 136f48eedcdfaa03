"""The closed union of messages between a gateway and the leading controller."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.crash_messages import AnsweredRun, BrokenRun, SuspectRequests
from ..control.upstream_record import UpstreamRecord
from ..limits.messages import AnswerTurn, AskTurn, HeardLimit, LimitsInForce
from ..placement import Grant, PlaceRequest, Reject
from ..placement.run_times import NO_TIMES, RunTimes
from ..quota.messages import AnswerQuota, AskQuota, QuotaNews, UsedQuota, WasShort
from ..signals.messages import BackoffHints, HeardBackoff
from ..wire import Codec

FLEET_METHOD = "Fleet"
PULSE_MS = 150
"""A gateway takes a stream that is silent three times as long for dead. By then a successor of a
leader that froze or was cut off is elected, so requests don't wait for both in a row."""


@dataclass(frozen=True, slots=True)
class GatewayHello:
    """The first message of a gateway's stream: who it is and which document it holds."""

    gateway: str
    document_version: int


@dataclass(frozen=True, slots=True)
class NotLeading:
    """This controller can't serve the stream; `leader` is an address, or empty if unknown."""

    leader: str


@dataclass(frozen=True, slots=True)
class PutInForce:
    """A configuration document, compressed as the log holds it."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class UpstreamsPart:
    """A part of all upstreams that take work, compressed.

    Attributes
    ----------
    begins : bool
        Whether it is the first part; what was told before holds until the last one is there.
    complete : bool
        Whether it is the last part.
    """

    content: bytes
    begins: bool
    complete: bool


@dataclass(frozen=True, slots=True)
class UpstreamsChange:
    """Upstreams that take work since the last word, and those that don't any more.

    Attributes
    ----------
    added : tuple of UpstreamRecord
        New ones, and new records of known ones.
    dropped : tuple of str
        Instances.
    content : bytes
        In place of `added`, many records compressed; empty where there are few.
    """

    added: tuple[UpstreamRecord, ...]
    dropped: tuple[str, ...]
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class Controllers:
    """Addresses of all controllers."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GatewayCount:
    """How many gateways have a stream to the leader."""

    gateways: int


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """What changed on one engine and base model: versions by adapter added, adapters dropped.

    Grouped, since names of engines and models would be most of what goes to every gateway.
    """

    instance: str
    model: str
    added: dict[str, int]
    dropped: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HoldingsChange:
    """What engines hold, as far as it changed; `whole` if it replaces all that was told."""

    whole: bool
    engines: tuple[EngineHoldings, ...]


@dataclass(frozen=True, slots=True)
class Pulse:
    """Nothing is new; the sender is there and, from the controller, still leads."""


@dataclass(frozen=True, slots=True)
class Release:
    """A placed request ended; `outcome` is a value of RunOutcome."""

    ticket: str
    outcome: str
    times: RunTimes = NO_TIMES


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A request is not wanted any more."""

    ticket: str


@dataclass(frozen=True, slots=True)
class AskRepeat:
    """A gateway whose own share is spent asks for one repeat for a service.

    Attributes
    ----------
    number : int
        Names the question in its answer.
    """

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class AnswerRepeat:
    """Whether the leader gives the repeat that question `number` asks for."""

    number: int
    given: bool


GatewayMessage = (
    PlaceRequest
    | Release
    | Withdraw
    | AskRepeat
    | AskQuota
    | AskTurn
    | HeardBackoff
    | HeardLimit
    | UsedQuota
    | WasShort
    | BrokenRun
    | AnsweredRun
)
"""What a gateway sends after its first message."""

FLEET_CODEC = Codec(
    AnsweredRun,
    AnswerQuota,
    AnswerRepeat,
    AnswerTurn,
    AskQuota,
    AskRepeat,
    AskTurn,
    BackoffHints,
    BrokenRun,
    Controllers,
    GatewayCount,
    GatewayHello,
    Grant,
    HeardBackoff,
    HeardLimit,
    HoldingsChange,
    LimitsInForce,
    NotLeading,
    Reject,
    PlaceRequest,
    Pulse,
    PutInForce,
    QuotaNews,
    Release,
    SuspectRequests,
    UpstreamsChange,
    UpstreamsPart,
    UsedQuota,
    WasShort,
    Withdraw,
)
