"""Batches of upstream heartbeats that a controller forwards to the leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from ..clock import Clock
from ..control.upstream_roster import UpstreamRoster
from .relay_messages import Accepted, Announce, Heartbeats

BATCH_MS = 100
"""Short compared with a heartbeat interval, so that the delay does not matter to the leader."""
LEADER_CONTACT_MS = 500
"""If the last accepted batch is older than this, the controller may be cut off from the leader."""
MAX_WAITING = 10_000
"""Several times the heartbeats of a whole deployment; only reached while there is no leader."""


class HeartbeatBatch:
    """Collects heartbeats of unchanged upstreams and sends them to the leader together.

    Such a heartbeat is answered at once. If each were forwarded, it would cost two controllers a
    call: for three thousand upstreams the leader would handle 2,500 calls per second before it
    places a single request.
    """

    def __init__(self, ask_leader: Callable[[Any], Awaitable[Any]], clock: Clock) -> None:
        self._ask_leader = ask_leader
        self._clock = clock
        self._waiting: dict[str, Announce] = {}
        self._accepted_ms = -LEADER_CONTACT_MS

    def try_add(self, msg: Announce, roster: UpstreamRoster) -> bool:
        """Add a heartbeat to the batch; False if the leader itself has to answer it.

        The leader has to commit an announcement with new information before it is answered. A
        controller without contact to the leader must not answer either, because the heartbeat would
        be lost although its upstream got an acknowledgement.
        """
        has_leader_contact = self._clock.now_ms() < self._accepted_ms + LEADER_CONTACT_MS
        is_known = roster.records.get(msg.record.instance) == msg.record
        if not has_leader_contact or not is_known or msg.record.leaving:
            return False
        if len(self._waiting) >= MAX_WAITING:
            return False
        if msg.holds is not None:
            msg = replace(msg, holds=replace(msg.holds, adapters={}))
        self._waiting[msg.record.instance] = msg
        return True

    async def run(self) -> None:
        """Call `flush` periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(BATCH_MS)
            await self.flush()

    async def flush(self) -> None:
        """Send the batch to the leader; an empty one checks that the leader is reachable."""
        batch, self._waiting = self._waiting, {}
        answer = await self._ask_leader(Heartbeats(tuple(batch.values())))
        if isinstance(answer, Accepted):
            self._accepted_ms = self._clock.now_ms()
        else:
            # Newer heartbeats of the same upstream that were added meanwhile take precedence.
            self._waiting = batch | self._waiting
