"""Which engine runs a request, and which adapters engines load for it.

Plain data and a clock: nothing here touches a network. `Placer` is not imported here: gateways need
the types only, and start a tenth sooner without it.
"""

from __future__ import annotations

from .adapter_name import AdapterName
from .decisions import Decision, Grant, LoadAdapter, LoadModel, Order, Reject, UnloadAdapter
from .engine_report import EngineReport
from .held import Held
from .place_request import PlaceRequest, PromptPart
from .run_outcome import RunOutcome

__all__ = [
    "AdapterName",
    "Decision",
    "EngineReport",
    "Grant",
    "Held",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "PlaceRequest",
    "PromptPart",
    "Reject",
    "RunOutcome",
    "UnloadAdapter",
]
