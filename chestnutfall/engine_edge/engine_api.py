"""Interface to engines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Sequence

from ..control.upstream_record import UpstreamRecord
from .answer_event import AnswerEvent
from .engine_request import EngineRequest
from .engine_state import EngineState
from .order import Order

Batches = AsyncGenerator[Sequence[AnswerEvent], None]
"""An answer in progress; each item holds the events that arrived together."""


class EngineApi(ABC):
    """Calls from a gateway to engines.

    State reads and orders go to `address`, the engine's IP and port.
    """

    @abstractmethod
    def run(self, engine: UpstreamRecord, req: EngineRequest) -> Batches:
        """Start a run of the request and yield the events of its answer as they arrive.

        Raises
        ------
        EngineRefused
            When the request provably did not run.
        EngineBroken
            When the answer failed before its last event; the request may have run.
        """

    @abstractmethod
    def resume(self, engine: UpstreamRecord, req: EngineRequest, after: int) -> Batches:
        """Yield the events of the same run after number `after`, on a new connection.

        This never starts a run: an engine that does not know the attempt refuses with
        `EngineRefused`.
        """

    @abstractmethod
    async def cancel(self, engine: UpstreamRecord, attempt_id: str) -> None:
        """Cancel a run whose answer is no longer wanted; errors are ignored."""

    @abstractmethod
    async def state(self, address: str, timeout_ms: float) -> EngineState:
        """Request the engine's present state.

        Raises
        ------
        ConnectionError
            When there is no answer in time.
        """

    @abstractmethod
    async def order(self, address: str, order: Order, timeout_ms: float) -> str:
        """Send a load or unload order; return `accepted` or the engine's reason to refuse.

        Raises
        ------
        ConnectionError
            When there is no answer in time; the order may or may not take effect.
        """
