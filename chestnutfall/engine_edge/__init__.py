"""Client interface to engines, with one implementation for each protocol."""

from __future__ import annotations

from .answer_event import AnswerEvent
from .answer_validator import AnswerValidator
from .engine_api import Batches, EngineApi
from .engine_request import EngineRequest
from .engine_state import EngineState
from .errors import EngineBroken, EngineRefused
from .order import Order, OrderKind

__all__ = [
    "AnswerEvent",
    "AnswerValidator",
    "Batches",
    "EngineApi",
    "EngineBroken",
    "EngineRefused",
    "EngineRequest",
    "EngineState",
    "Order",
    "OrderKind",
]
