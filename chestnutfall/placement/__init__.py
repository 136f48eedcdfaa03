"""Decides which engine runs each request and which adapters each engine loads.

The package holds plain data and a clock and does no network I/O. `Placer` is not imported here:
gateways need only the types, and start a tenth of a second sooner without it.
"""

from __future__ import annotations

from .adapter_name import AdapterName
from .decisions import Decision, Grant, LoadAdapter, LoadModel, Order, Reject, UnloadAdapter
from .engine_report import EngineReport
from .place_request import PlaceRequest, PromptPart
from .ready_adapter import ReadyAdapter
from .run_outcome import RunOutcome

__all__ = [
    "AdapterName",
    "Decision",
    "EngineReport",
    "Grant",
    "ReadyAdapter",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "PlaceRequest",
    "PromptPart",
    "Reject",
    "RunOutcome",
    "UnloadAdapter",
]
