"""Links of a gateway to upstreams that can be cut from outside its process.

The gateway connects to upstreams from its own loopback address, so that relays can tell gateways
apart. While the file `cut` is in the folder of its settings, it opens no connection to the ports
that the file names. It reaches controllers and other gateways through the relays that the file
`peers` names.
"""

from __future__ import annotations

import asyncio
import json
import os
import tomllib
from pathlib import Path
from typing import Any

from chestnutfall.platform.node_file import PATH_VARIABLE
from chestnutfall.wire import RpcChannel
from chestnutfall.wire.direct_connector import DirectConnector

from .relay import CUT_FILE, PEERS_FILE, REFUSED, UPSTREAM_HOST

_open_connection = asyncio.open_connection
_open_for_http = DirectConnector.open_connection
_make_channel = RpcChannel.__init__


class _CutLinks:
    """Replaces the ways in which a gateway opens connections."""

    def __init__(self, settings: Path) -> None:
        self._file = settings.parent / CUT_FILE
        peers = settings.parent / PEERS_FILE
        self._peers = json.loads(peers.read_text()) if peers.exists() else {}
        self._ip = tomllib.loads(settings.read_text("utf-8"))["ip"]

    async def open_connection(self, host: str, port: int, **options: Any) -> Any:
        """Stand in for `asyncio.open_connection`."""
        if host == UPSTREAM_HOST:
            await self._fail_if_cut(port)
            options["local_addr"] = (self._ip, 0)
        return await _open_connection(host, port, **options)

    async def open_for_http(
        self, connector: DirectConnector, factory: Any, host: str, port: int, **options: Any
    ) -> Any:
        """Stand in for the function with which HTTP clients open connections."""
        if host == UPSTREAM_HOST:
            await self._fail_if_cut(port)
            options["local_addr"] = (self._ip, 0)
        return await _open_for_http(connector, factory, host, port, **options)

    def make_channel(self, channel: RpcChannel, address: str, *args: Any, **options: Any) -> None:
        """Stand in for `RpcChannel.__init__`."""
        _make_channel(channel, self._peers.get(address, address), *args, **options)

    async def _fail_if_cut(self, port: int) -> None:
        mode, *ports = (self._file.read_text() if self._file.exists() else "").split() or [""]
        if str(port) not in ports:
            return
        if mode == REFUSED:
            raise ConnectionRefusedError(111, "the link is cut")
        await asyncio.sleep(3600)


def install() -> None:
    """Replace the ways in which this process opens connections."""
    links = _CutLinks(Path(os.environ[PATH_VARIABLE]))
    asyncio.open_connection = links.open_connection  # type: ignore[assignment]

    async def open_for_http(connector: DirectConnector, *args: Any, **options: Any) -> Any:
        return await links.open_for_http(connector, *args, **options)

    def make_channel(channel: RpcChannel, *args: Any, **options: Any) -> None:
        links.make_channel(channel, *args, **options)

    RpcChannel.__init__ = make_channel  # type: ignore[method-assign, assignment]
    DirectConnector.open_connection = open_for_http  # type: ignore[method-assign, assignment]
