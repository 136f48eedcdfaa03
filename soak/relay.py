"""A TCP relay on the loopback interface that injects faults into its connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Iterator
from enum import Enum

from chestnutfall.wire.resets import reset

CHUNK_BYTES = 16 * 1024
"""Largest number of bytes that are forwarded at once."""
HELD_POLL_S = 0.02
"""How often it is checked whether a cut has ended."""
CUT_FILE = "cut"
"""File in a gateway's folder that keeps it from opening connections to upstreams: a mode, and the
ports of their relays."""
PEERS_FILE = "peers"
"""File in a gateway's folder with the address of a relay for each daemon that it calls, as JSON."""
REFUSED, HANGING = "refused", "hanging"
"""Modes: new connections are refused, or never answered."""
UPSTREAM_HOST = "127.0.0.1"
"""Address on which the relays of upstreams listen."""


EVERY_GATEWAY = ""


class ConnectionFault(Enum):
    """A fault that a relay injects.

    DELAY delays every chunk by 0.2 s, RESET resets new connections, SILENCE drops the bytes of both
    directions, and SILENCE_ANSWERS only those from the target.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE_ANSWERS = "silence_answers"
    SILENCE = "silence"


class Relay:
    """Forwards connections to `target` and applies the present fault to them.

    Attributes
    ----------
    fault : ConnectionFault
        Fault that is applied now, also to open connections unless it is RESET.
    cut : dict of str to ConnectionFault
        Faults that are applied to the connections of single gateways, by their IP. SILENCE holds
        their bytes until it ends.
    held : Counter of str
        Gateways, by their IP, whose bytes are held now and passed on afterwards, which is no fault:
        nothing is dropped or reset. `EVERY_GATEWAY` stands for all.
    address : str
        Address on which it listens, valid after `start`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.fault = ConnectionFault.NONE
        self.cut: dict[str, ConnectionFault] = {}
        self.held: Counter[str] = Counter()
        self.address = f"{UPSTREAM_HOST}:0"
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self.address.rpartition(":")[2])

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after `refuse`."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._on_connection, host, int(port))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @contextlib.contextmanager
    def holding(self, ip: str = EVERY_GATEWAY) -> Iterator[None]:
        """Hold the bytes of one gateway, or of all, for as long as the context lasts."""
        self.held[ip] += 1
        try:
            yield
        finally:
            self.held[ip] -= 1

    def refuse(self) -> None:
        """Close the port and reset every connection, as when the target's process has ended."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open):
            reset(writer.transport)

    def reset_from(self, ip: str) -> None:
        """Reset every open connection of one gateway."""
        for writer in list(self._open):
            if writer.get_extra_info("peername")[0] == ip:
                reset(writer.transport)

    async def stop(self) -> None:
        """Close the port, end all cuts and reset every connection."""
        self.cut.clear()
        self.held.clear()
        self.refuse()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip = writer.get_extra_info("peername")[0]
        if ConnectionFault.RESET in (self.fault, self.cut.get(ip)):
            reset(writer.transport)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer.transport)
            return
        self._open |= {writer, target_writer}
        directions = (
            self._forward(reader, target_writer, ip, False),
            self._forward(target_reader, writer, ip, True),
        )
        await asyncio.gather(*directions, return_exceptions=True)
        self._open -= {writer, target_writer}

    async def _wait_while_held(self, ip: str) -> None:
        """Wait until a gateway's connections no longer hang.

        TCP sends bytes again that a cut held up. If they were dropped and the connection lived on,
        a later answer on it would be taken for one whose bytes are missing.
        """
        while self._is_held(ip) or self.cut.get(ip) is ConnectionFault.SILENCE:
            await asyncio.sleep(HELD_POLL_S)

    def _is_held(self, ip: str) -> bool:
        return self.held[ip] > 0 or self.held[EVERY_GATEWAY] > 0

    def _keeps_end(self, ip: str, is_answer: bool) -> bool:
        return self._is_held(ip) or self._is_silent(ip, is_answer)

    def _is_silent(self, ip: str, is_answer: bool) -> bool:
        """Whether bytes of a direction are dropped now."""
        fault = self.cut.get(ip, self.fault)
        is_half = fault is ConnectionFault.SILENCE_ANSWERS and is_answer
        return fault is ConnectionFault.SILENCE or is_half

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ip: str, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_while_held(ip)
                # A reset drops what was held up on the way.
                if (reset_by_peer := reader.exception()) is not None:
                    raise reset_by_peer
                if self._is_silent(ip, is_answer):
                    continue
                if self.cut.get(ip, self.fault) is ConnectionFault.DELAY:
                    await asyncio.sleep(0.2)
                writer.write(data)
                await writer.drain()
            # Passed on, the end of file would end an answer without a length as whole.
            while self._keeps_end(ip, is_answer) and not writer.is_closing():
                await asyncio.sleep(HELD_POLL_S)
        except OSError:
            while self._is_held(ip) and not writer.is_closing():
                await asyncio.sleep(HELD_POLL_S)
            reset(writer.transport)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
