"""A request that was checked and may be run."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.priority_class import PriorityClass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller to an adapter.

    Attributes
    ----------
    request_id : str
        Chosen by us, unique.
    caller : str
        Name of the caller.
    service : str
        Engine service that runs it.
    model : str
        The adapter's name on engines, with version and content digest.
    body : bytes
        JSON body for the engine.
    non_idempotent : bool
        Whether it may be dispatched at most once.
    claim_key : str
        `Idempotency-Key`; empty when there is none.
    deadline_ms : int
        Clock time by which the answer must have begun.
    """

    request_id: str
    caller: str
    service: str
    path: str
    model: str
    body: bytes
    stream: bool
    priority: PriorityClass
    non_idempotent: bool
    claim_key: str
    deadline_ms: int
    silent_ms: int
    trace: dict[str, str]
