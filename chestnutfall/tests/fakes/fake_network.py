"""A network between replicas whose messages can be lost, delayed and duplicated."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from ...clock import ManualClock
from ...consensus import Member, StorageFailed, Transport
from ...consensus.messages import CONSENSUS_CODEC
from .node_clock import NodeClock

Handler = Callable[[Any], Awaitable[Any]]
MAX_DELAY_MS = 20


class FakeNetwork:
    """Connects replicas by address.

    Attributes
    ----------
    cuts : set of tuple of str
        Pairs of sender and receiver; messages in this direction are lost without an error.
    duplicate_probability : float
        Probability that a request is delivered a second time, later.
    """

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.duplicate_probability = 0.1
        self._clock = clock
        self._rng = rng
        self._handlers: dict[str, tuple[Handler, NodeClock]] = {}
        self._duplicates: set[asyncio.Future[Any]] = set()

    def connect(self, address: str, handler: Handler, clock: NodeClock) -> None:
        """Register `handler` for requests to `address`; `clock` is that of its process."""
        self._handlers[address] = (handler, clock)

    def disconnect(self, address: str) -> None:
        """Remove the handler of `address`; calls to it then fail."""
        self._handlers.pop(address, None)

    def transport(self, own_address: str, clock: NodeClock) -> Transport:
        """Return the transport of the replica at `own_address`."""
        return _FakeTransport(self, own_address, clock)

    async def carry(self, sender: str, receiver: str, msg: Any) -> Any:
        """Deliver `msg` in encoded form and return the reply; waits for ever if either is lost."""
        data = CONSENSUS_CODEC.encode(msg)
        await self._hop(sender, receiver)
        if self._rng.random() < self.duplicate_probability:
            duplicate = asyncio.ensure_future(self._deliver_duplicate(receiver, data))
            self._duplicates.add(duplicate)
            duplicate.add_done_callback(self._duplicates.discard)
        reply = await self._deliver(receiver, data)
        await self._hop(receiver, sender)
        return CONSENSUS_CODEC.decode(reply)

    async def _deliver_duplicate(self, receiver: str, data: bytes) -> None:
        await self._clock.sleep_ms(self._rng.choice([1, 50, 700]))
        try:
            await self._deliver(receiver, data)
        except ConnectionError:
            return

    async def _deliver(self, receiver: str, data: bytes) -> bytes:
        if receiver not in self._handlers:
            raise ConnectionError(f"no replica at {receiver}")
        handler, clock = self._handlers[receiver]
        await clock.while_running()
        try:
            return CONSENSUS_CODEC.encode(await handler(CONSENSUS_CODEC.decode(data)))
        except StorageFailed as exc:
            raise ConnectionError(str(exc)) from exc

    async def _hop(self, sender: str, receiver: str) -> None:
        await self._clock.sleep_ms(self._rng.randint(0, MAX_DELAY_MS))
        if (sender, receiver) in self.cuts:
            await asyncio.get_running_loop().create_future()


class _FakeTransport(Transport):
    def __init__(self, network: FakeNetwork, address: str, clock: NodeClock) -> None:
        self._network = network
        self._address = address
        self._clock = clock

    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        work = self._network.carry(self._address, member.address, msg)
        try:
            reply = await self._clock.within_ms(timeout_ms, work)
        except TimeoutError as exc:
            raise ConnectionError(str(exc)) from exc
        await self._clock.while_running()
        return reply
