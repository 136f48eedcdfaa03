"""The closed union of messages between an entry gateway and an owner."""

from __future__ import annotations

from dataclasses import dataclass

from ..limits.messages import HeardLimit
from ..signals.messages import HeardBackoff
from ..wire import Codec

LAST_DISPATCH_MS = 4000
"""How long after a grant was sent its request may still reach the engine.

A stream that is silent for 3 s is closed by its keepalive, and an entry dispatches at once when a
grant arrives, with 500 ms to connect, and only while its own session's lease is valid.
"""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a stream: the session of the entry gateway."""

    session: str


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Ask to run one attempt.

    Attributes
    ----------
    attempt_id : str
        Identifies the ticket, and the run on the engine.
    adapter : str
        The adapter's name on engines.
    rank : int
        Priority class, 0 first.
    wait_ms : int
        How long the entry is ready to wait.
    limit : HeardLimit or None
        What the entry knows of the engine's limit; its owner may be new.
    """

    attempt_id: str
    engine: str
    adapter: str
    rank: int
    wait_ms: int
    limit: HeardLimit | None = None


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """The adapter is ready on the engine and pinned for this attempt."""

    attempt_id: str
    stalled_ms: int


@dataclass(frozen=True, slots=True)
class TicketRefusal:
    """No ticket; nothing was run and nothing is pinned."""

    attempt_id: str
    code: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketEnd:
    """The attempt is over, or its request is no longer wanted."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class EngineLimit:
    """What an answer said of the limit of `engine`."""

    engine: str
    heard: HeardLimit


@dataclass(frozen=True, slots=True)
class EngineBackoff:
    """What an answer to an entry asked of it, for `engine`."""

    engine: str
    heard: HeardBackoff


@dataclass(frozen=True, slots=True)
class ResumeSent:
    """The engine was asked for the rest of a run, which it counts as a request."""

    engine: str


@dataclass(frozen=True, slots=True)
class EngineView:
    """What an owner publishes of an engine.

    Attributes
    ----------
    ready : tuple of str
        Adapters that take new work now.
    running, waiting : int
        Tickets out, and requests that wait for one.
    send_wait_ms : int
        Time until the engine takes one more request than those that wait; also for who was not
        asked for time, since it was asked of others.
    """

    engine: str
    ready: tuple[str, ...]
    running: int
    waiting: int
    send_wait_ms: int = 0


OwnerNote = TicketEnd | EngineLimit | EngineBackoff | ResumeSent
"""What an entry tells an owner without an answer."""

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
