"""A caller's request after all checks."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.priority_class import PriorityClass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One checked request of a caller to an adapter.

    Attributes
    ----------
    request_id : str
        Unique id, made by the gateway.
    caller : str
        Name of the caller.
    service : str
        Engine service that runs it.
    path : str
        API path, like `/v1/chat/completions`.
    model : str
        The adapter's name on engines, with version and content digest.
    body : bytes
        JSON body for the engine.
    stream : bool
        Whether the answer is a stream of server-sent events.
    priority : PriorityClass
        Class that its caller asked for and may have.
    non_idempotent : bool
        Whether it may run at most once.
    claim_key : str
        `Idempotency-Key`; empty when there is none.
    deadline_ms : int
        Clock time by which the answer must have begun.
    silent_ms : int
        Time without data from the engine after which it counts as silent.
    trace : dict
        W3C trace context headers, passed on to the engine.
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
