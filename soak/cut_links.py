"""Links of a gateway to upstreams that can be cut from outside its process.

The gateway connects to upstreams from its own loopback address, so that relays can tell gateways
apart. While the file `cut` is in the folder of its settings, it opens no connection to an upstream.
"""

from __future__ import annotations

import asyncio
import os
import socket
import tomllib
from pathlib import Path
from typing import Any

from aiohttp import connector

from chestnutfall.platform.node_file import PATH_VARIABLE

from .relay import CUT_FILE, REFUSED, UPSTREAM_HOST

_open_connection = asyncio.open_connection
_start_connection = connector.aiohappyeyeballs.start_connection


def _reusable_socket(addr_info: Any) -> socket.socket:
    """Create a socket whose port may be listened on soon after it is closed.

    Otherwise a gateway of a later run, on the same address, can't listen on a port that one of
    these connections had.
    """
    family, kind, protocol, _, _ = addr_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock


class _CutLinks:
    """Replaces the ways in which a gateway opens connections."""

    def __init__(self, settings: Path) -> None:
        self._file = settings.parent / CUT_FILE
        self._ip = tomllib.loads(settings.read_text("utf-8"))["ip"]

    async def open_connection(self, host: str, port: int, **options: Any) -> Any:
        """Stand in for `asyncio.open_connection`."""
        if host == UPSTREAM_HOST:
            await self._fail_if_cut()
            options["local_addr"] = (self._ip, 0)
        return await _open_connection(host, port, **options)

    async def start_connection(self, *, addr_infos: Any, **options: Any) -> socket.socket:
        """Stand in for the function with which aiohttp opens connections."""
        if addr_infos[0][4][0] == UPSTREAM_HOST:
            await self._fail_if_cut()
            local = (socket.AF_INET, socket.SOCK_STREAM, 0, "", (self._ip, 0))
            options["local_addr_infos"] = [local]
            options["socket_factory"] = _reusable_socket
        return await _start_connection(addr_infos=addr_infos, **options)

    async def _fail_if_cut(self) -> None:
        match self._file.read_text() if self._file.exists() else "":
            case "":
                pass
            case mode if mode == REFUSED:
                raise ConnectionRefusedError(111, "the link is cut")
            case _:
                await asyncio.sleep(3600)


def install() -> None:
    """Replace the ways in which this process opens connections."""
    links = _CutLinks(Path(os.environ[PATH_VARIABLE]))
    asyncio.open_connection = links.open_connection  # type: ignore[assignment]
    connector.aiohappyeyeballs.start_connection = links.start_connection  # type: ignore[assignment]
