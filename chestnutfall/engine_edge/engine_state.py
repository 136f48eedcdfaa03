"""What an engine reports of itself when asked."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineState:
    """A fresh report.

    Attributes
    ----------
    incarnation : str
        New with each start of the engine.
    slots : int
        Adapters it can hold.
    adapters : dict of str to str
        `loading`, `ready` or `failed` by adapter name.
    running : dict of str to str
        Adapter by attempt id, of all requests it holds, queued ones included.
    """

    incarnation: str
    slots: int
    adapters: dict[str, str]
    running: dict[str, str]
