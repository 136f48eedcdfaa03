"""Forwarding of calls from outside to the leading controller."""

from __future__ import annotations

import logging
from typing import Any

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..control.commands import (
    NameVersion,
    PutDocument,
    UnreadableCommand,
    VersionTaken,
    encode_command,
)
from ..control.control_state import ControlState
from ..wire import RpcChannel
from .fleet_leader import FleetLeader
from .group_manager import GroupManager
from .heartbeat_batch import HeartbeatBatch
from .leader_term import LeaderTerm
from .relay_messages import (
    RELAY_CODEC,
    Accepted,
    Announce,
    Depart,
    Heartbeats,
    HeldDocument,
    JoinGroup,
    ReadDocument,
    Rejected,
    StoreDocument,
    StoreVersion,
    Unavailable,
)

log = logging.getLogger(__name__)
METHOD = "Relay"
RELAY_TIMEOUT_MS = 800
"""Callers give up after a second; with this timeout they learn earlier that they have to retry."""


class LeaderRelay:
    """Answers calls on the leader, and forwards them to it from any other controller.

    Attributes
    ----------
    heartbeats : HeartbeatBatch
        Heartbeats that wait to be forwarded.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        leader: FleetLeader,
        group: GroupManager,
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._state = state
        self._leader = leader
        self._group = group
        self._channels: dict[str, RpcChannel] = {}
        self.heartbeats = HeartbeatBatch(self._ask_leader, clock)

    async def ask(self, msg: Any) -> Any:
        """Answer `msg` here if this controller leads; otherwise ask the leader once."""
        if self._leader.leading() is not None:
            return await self.answer(msg)
        if isinstance(msg, Announce) and self.heartbeats.try_add(msg, self._state.roster):
            return Accepted()
        return await self._ask_leader(msg)

    async def _ask_leader(self, msg: Any) -> Any:
        if self._leader.leading() is not None:
            return await self.answer(msg)
        address = self._replica.leader_address()
        return await self.ask_at(address, msg) if address else Unavailable()

    async def ask_at(self, address: str, msg: Any) -> Any:
        """Ask the controller at `address`; a failed call is answered with `Unavailable`."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = RpcChannel(address, RELAY_CODEC)
        try:
            return await channel.call(METHOD, msg, RELAY_TIMEOUT_MS)
        except ConnectionError as exc:
            log.warning("relay: %s to %s failed: %s", type(msg).__name__, address, exc)
            return Unavailable()

    async def answer(self, msg: Any) -> Any:
        """Answer `msg` on the leader; any other replica answers with the leader's address."""
        term = self._leader.leading()
        if term is None:
            return Unavailable(self._replica.leader_address())
        try:
            return await self._answer(term, msg)
        except UnreadableCommand as exc:
            log.error("relay: %s not proposed: %s", type(msg).__name__, exc)
            return Rejected(str(exc))
        except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
            log.warning("relay: outcome of %s is unknown: %r", type(msg).__name__, exc)
            return Unavailable()

    async def _answer(self, term: LeaderTerm, msg: Any) -> Any:
        match msg:
            case JoinGroup():
                self._group.register_joiner(msg)
                return Accepted()
            case Announce():
                await term.announce(msg)
                return Accepted()
            case Heartbeats(announcements):
                for announcement in announcements:
                    await term.announce(announcement)
                return Accepted()
            case Depart():
                await term.depart(msg)
                return Accepted()
            case _ if not self._state.group_complete:
                # With fewer voters than the tolerated losses require, those losses could take a
                # majority, and with it everything that was acknowledged.
                return Unavailable()
            case StoreDocument(version, content):
                return await self._store(version, content)
            case StoreVersion(model, adapter, version):
                command = NameVersion(model, adapter, version)
                await self._replica.propose(encode_command(command))
                return Accepted()
            case ReadDocument():
                return HeldDocument(self._state.document.version, self._state.document.content)
            case _:
                return Rejected(f"{type(msg).__name__} is not a call")

    async def _store(self, version: int, content: bytes) -> Accepted | Rejected:
        outcome = await self._replica.propose(encode_command(PutDocument(version, content)))
        if isinstance(outcome, VersionTaken):
            return Rejected(f"version {outcome.version} is in force with other content")
        log.info("document: version=%d held=%d", version, outcome.version)
        return Accepted()

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
