"""Questions of gateways for a turn to send to a plain service, and their answers."""

from __future__ import annotations

from dataclasses import dataclass

LIMITED = "limited"
"""Reason of a refusal where every upstream of the service declares a limit."""
PLENTY = "plenty"
"""Reason of an answer without a turn where the service needs none, since it has room."""
NO_ROOM = "no_room"
"""Reason of a refusal where the upstreams of the service have no room in time."""


@dataclass(frozen=True, slots=True)
class AskTurn:
    """A gateway asks to send a call to any limited upstream of a plain service.

    Attributes
    ----------
    number : int
        Identifies the question; repeated in its answer.
    avoid : tuple of str
        Instances that already failed this call.
    organisation : str
        The organisation whose call it is; empty if the service requires no key.
    rank : int
        Urgency; 0 goes first.
    wait_ms : int
        How long the call can wait; 0 if another upstream would accept it at once.
    left_ms : int
        Time until the call's deadline; 0 if unknown.
    objective_ms : int
        Time until the call's latency objective; 0 if unknown.
    kind : str
        Kind of the call: the name of its route.
    idempotent : bool
        Whether the call may run twice.
    request : str
        Digest of the request, by which it is recognised when it comes back; empty if unknown.
    for_room : bool
        Whether the gateway asks since the service is short of room.
    """

    number: int
    service: str
    avoid: tuple[str, ...]
    organisation: str
    rank: int
    wait_ms: int
    left_ms: int = 0
    objective_ms: int = 0
    kind: str = ""
    idempotent: bool = True
    request: str = ""
    for_room: bool = False


@dataclass(frozen=True, slots=True)
class AnswerTurn:
    """Answers question `number`: the call goes to `instance` now, or is refused.

    Attributes
    ----------
    instance : str
        Empty if no upstream accepts the call in time.
    retry_after_ms : int
        For a refused call, the time after which an upstream may accept it.
    reason : str
        For a refused call, what its service is short of.
    held : bool
        Whether the call holds a place there until its gateway sends an `EndTurn`.
    """

    number: int
    instance: str
    retry_after_ms: int = 0
    reason: str = LIMITED
    held: bool = False
