"""The closed union of messages between an entry gateway and an owner."""

from __future__ import annotations

from dataclasses import dataclass

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
    """

    attempt_id: str
    engine: str
    adapter: str
    rank: int
    wait_ms: int


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
class EngineView:
    """What an owner publishes of an engine.

    Attributes
    ----------
    ready : tuple of str
        Adapters that take new work now.
    running, waiting : int
        Tickets out, and requests that wait for one.
    """

    engine: str
    ready: tuple[str, ...]
    running: int
    waiting: int


TICKET_CODEC = Codec(Hello, TicketRequest, TicketGrant, TicketRefusal, TicketEnd, EngineView)
