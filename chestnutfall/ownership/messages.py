"""The closed union of messages between an entry gateway and an engine's owner.

The entry gateway is the one that received the caller's request.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..limits.messages import HeardLimit
from ..signals.messages import HeardBackoff
from ..wire import Codec

MAX_DISPATCH_DELAY_MS = 4000
"""How long after a grant was sent its request may still reach the engine.

The keepalive closes a stream that is silent for 3 s. An entry gateway sends the request to the
engine as soon as the grant arrives, with 500 ms to connect, and only while its own session's lease
is valid."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a stream: the session of the entry gateway."""

    session: str


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Asks for a ticket to run one attempt.

    Attributes
    ----------
    attempt_id : str
        Identifies the ticket, and the run on the engine.
    adapter : str
        The adapter's name on engines.
    rank : int
        Priority class, 0 first.
    wait_ms : int
        How long the request may wait for the ticket.
    limit : HeardLimit or None
        The engine's limit as the entry gateway knows it; a new owner may not know it yet.
    """

    attempt_id: str
    engine: str
    adapter: str
    rank: int
    wait_ms: int
    limit: HeardLimit | None = None


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """The adapter is ready on the engine and pinned for this attempt.

    Attributes
    ----------
    stalled_ms : int
        Time that the request waited, if it had to wait for a load; otherwise 0.
    """

    attempt_id: str
    stalled_ms: int


@dataclass(frozen=True, slots=True)
class TicketRefusal:
    """There is no ticket; nothing was run and nothing is pinned."""

    attempt_id: str
    code: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketEnd:
    """The attempt is over, or its request is no longer wanted."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class EngineLimit:
    """The limit that an answer of `engine` announced.

    Attributes
    ----------
    heard : HeardLimit
        Report of the limit by the entry gateway that received the answer.
    """

    engine: str
    heard: HeardLimit


@dataclass(frozen=True, slots=True)
class EngineBackoff:
    """The backoff that an answer of `engine` asked of an entry gateway.

    Attributes
    ----------
    heard : HeardBackoff
        Report of the backoff by the entry gateway that received the answer.
    """

    engine: str
    heard: HeardBackoff


@dataclass(frozen=True, slots=True)
class ResumeSent:
    """The engine was asked for the rest of a run, which counts as a request against its limit."""

    engine: str


@dataclass(frozen=True, slots=True)
class EngineView:
    """State of an engine that its owner publishes to the entry gateways.

    Attributes
    ----------
    ready : tuple of str
        Adapters that new tickets may pin now.
    running, waiting : int
        Tickets granted and not ended, and requests that wait for one.
    send_wait_ms : int
        Time until the engine takes one more request behind those that wait. It includes any backoff
        that the engine asked of other gateways, since it would probably refuse this one too.
    """

    engine: str
    ready: tuple[str, ...]
    running: int
    waiting: int
    send_wait_ms: int = 0


OwnerNotification = TicketEnd | EngineLimit | EngineBackoff | ResumeSent
"""Messages of an entry gateway to an owner that have no answer."""

TICKET_CODEC = Codec(
    EngineBackoff,
    EngineLimit,
    EngineView,
    Hello,
    ResumeSent,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
