"""Client for the controllers that finds the leader."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..clock import Clock
from ..wire import RpcChannel, TlsFiles
from .messages import CONTROL_CODEC, OutcomeUnknown, TryElsewhere

METHOD = "Control"
RETRY_MS = 60
"""Pause between two attempts."""


class NoController(Exception):
    """No controller answered in time; the request may or may not take effect."""


class ControlClient:
    """Sends requests to the leading controller, and follows it when it changes.

    Parameters
    ----------
    addresses : iterable of str
        Controllers to try.
    clock : Clock
        Clock for deadlines and pauses.
    tls : TlsFiles or None
        Certificates of the connections; None for plain text.
    call_ms : float
        Timeout of one attempt.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        clock: Clock,
        tls: TlsFiles | None = None,
        call_ms: float = 700,
    ) -> None:
        self._addresses = list(addresses)
        self._clock = clock
        self._tls = tls
        self._call_ms = call_ms
        self._channels: dict[str, RpcChannel] = {}
        self._leader = self._addresses[0]

    async def ask(self, msg: Any, within_ms: float) -> Any:
        """Send `msg` until a leader answers it; it must be safe to send more than once.

        Raises
        ------
        NoController
            If no leader has answered within `within_ms`.
        """
        end_ms = self._clock.now_ms() + within_ms
        last = "no controller was asked"
        while (left_ms := end_ms - self._clock.now_ms()) > 0:
            asked = self._leader
            try:
                reply = await self._channel(asked).call(METHOD, msg, min(left_ms, self._call_ms))
            except ConnectionError as exc:
                last = str(exc)
                self._leader = self._next_after(asked)
            else:
                match reply:
                    case TryElsewhere(leader):
                        last = f"{asked} does not lead"
                        self._leader = leader or self._next_after(asked)
                    case OutcomeUnknown():
                        last = f"{asked} lost its leadership"
                    case _:
                        return reply
            await self._clock.sleep_ms(RETRY_MS)
        raise NoController(last)

    def _channel(self, address: str) -> RpcChannel:
        if address not in self._channels:
            self._channels[address] = RpcChannel(address, CONTROL_CODEC, self._tls)
        return self._channels[address]

    def _next_after(self, address: str) -> str:
        if address not in self._addresses:
            return self._addresses[0]
        return self._addresses[(self._addresses.index(address) + 1) % len(self._addresses)]

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
