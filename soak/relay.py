"""A loopback relay that harms the connections that pass through it."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 16 * 1024


class Harm(Enum):
    """What a relay does to bytes."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE_ANSWERS = "silence_answers"
    SILENCE = "silence"


class Relay:
    """Passes connections on to `target`, as well as `harm` allows."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.harm = Harm.NONE
        self.address = "127.0.0.1:0"
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port; on the same one again after `refuse`."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._on_connection, host, int(port))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def refuse(self) -> None:
        """Close the port and every connection, as a host does whose process ended."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close everything."""
        self.refuse()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        ways = (self._pass(reader, far_writer, False), self._pass(far_reader, writer, True))
        await asyncio.gather(*ways, return_exceptions=True)
        self._open -= {writer, far_writer}

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                match self.harm:
                    case Harm.DELAY:
                        await asyncio.sleep(0.2)
                    case Harm.SILENCE:
                        continue
                    case Harm.SILENCE_ANSWERS if is_answer:
                        continue
                    case _:
                        pass
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
