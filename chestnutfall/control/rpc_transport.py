"""gRPC transport between replicas."""

from __future__ import annotations

from typing import Any

from ..consensus import Member, Transport
from ..consensus.messages import CONSENSUS_CODEC
from ..wire import RpcChannel, TlsFiles

METHOD = "Consensus"


class RpcTransport(Transport):
    """Sends consensus messages over one gRPC channel per address."""

    def __init__(self, tls: TlsFiles | None) -> None:
        self._tls = tls
        self._channels: dict[str, RpcChannel] = {}

    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        channel = self._channels.get(member.address)
        if channel is None:
            channel = RpcChannel(member.address, CONSENSUS_CODEC, self._tls)
            self._channels[member.address] = channel
        return await channel.call(METHOD, msg, timeout_ms)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
