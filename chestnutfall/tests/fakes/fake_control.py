"""The real control service on one real replica, reached through a connection that can fail."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ...clock import Clock
from ...control.control_client import ControlClient, NoController
from ...control.control_service import ControlService
from ...control.control_state import ControlState
from ...control.leader_duties import LeaderDuties
from ...control.messages import CONTROL_CODEC, ApplyChange, OutcomeUnknown, TryElsewhere
from ...requests import key_digest
from .fake_cluster import FakeCluster

ADMIN_KEY = "admin key"
RETRY_MS = 60


class FakeControl:
    """The controllers of a fake deployment: one replica with its control service."""

    def __init__(self, seed: int) -> None:
        self.cluster = FakeCluster(seed, ("a",), ControlState)
        self.clock = self.cluster.clock

    async def start(self) -> None:
        """Elect the replica and start the leader's periodic work."""
        await self.cluster.bootstrap()
        replica = await self.cluster.leader()
        assert isinstance(replica.machine, ControlState)
        self.state = replica.machine
        self.duties = LeaderDuties(replica, self.state, self.cluster.clocks["a"])
        self.service = ControlService(
            replica, self.state, self.duties, self.cluster.clocks["a"], key_digest(ADMIN_KEY)
        )
        self._duties_task = asyncio.ensure_future(self.duties.run())

    async def change(self, patches: dict[str, Any], from_revision: int | None = None) -> Any:
        """Apply a configuration change as the admin and return the outcome.

        The change is based on `from_revision`, or on the newest revision if that is None.
        """
        revision = self.state.revision if from_revision is None else from_revision
        change_id = f"change {revision} {self.clock.now_ms()}"
        msg = ApplyChange(ADMIN_KEY, change_id, revision, json.dumps(patches), "", False)
        task = asyncio.ensure_future(self.service.handle(msg))
        await self.clock.advance(50)
        return await task

    async def stop(self) -> None:
        """Stop the periodic work and the replica."""
        self._duties_task.cancel()
        await self.cluster.stop()


class FakeControlClient(ControlClient):
    """A client whose connection to the controllers can be cut or lose answers.

    Attributes
    ----------
    cut : bool
        Whether requests don't reach the controllers.
    lose_answers : bool
        Whether requests take effect but their answers are lost.
    """

    def __init__(self, control: FakeControl, clock: Clock) -> None:
        super().__init__(["a"], clock)
        self._control = control
        self.cut = False
        self.lose_answers = False

    async def ask(self, msg: Any, within_ms: float) -> Any:
        end_ms = self._clock.now_ms() + within_ms
        while self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(1)
            if not self.cut:
                sent = CONTROL_CODEC.decode(CONTROL_CODEC.encode(msg))
                reply = await self._control.service.handle(sent)
                reply = CONTROL_CODEC.decode(CONTROL_CODEC.encode(reply))
                if not self.lose_answers and not isinstance(reply, TryElsewhere | OutcomeUnknown):
                    return reply
            await self._clock.sleep_ms(RETRY_MS)
        raise NoController("cut off")
