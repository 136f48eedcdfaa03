"""How far a call has come over all its sends."""

from __future__ import annotations

from dataclasses import dataclass, field

from .call import Call
from .shared_retry_budget import SharedRetryBudget


@dataclass(slots=True)
class Progress:
    """What holds for a call from one send to the next.

    Attributes
    ----------
    until_ms : int
        Clock time by which it must have its final answer.
    sends : int
        Sends so far.
    runs : int
        Sends that may have run.
    started : bool
        Whether the client has the beginning of an answer.
    last_event : int or None
        Number of the last event that the client has.
    avoid : list of str
        Instances that failed it.
    """

    call: Call
    until_ms: int
    budget: SharedRetryBudget
    sends: int = 0
    runs: int = 0
    started: bool = False
    last_event: int | None = None
    avoid: list[str] = field(default_factory=list)
