"""State that an engine reports on request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own report of its adapters and runs.

    Attributes
    ----------
    incarnation : str
        Identifier that changes with each start of the engine.
    slots : int
        Number of adapters that it can hold.
    adapters : dict of str to str
        State by adapter name: `loading`, `ready` or `failed`.
    running : dict of str to str
        Adapter by attempt id, for running and queued requests.
    """

    incarnation: str
    slots: int
    adapters: dict[str, str]
    running: dict[str, str]
