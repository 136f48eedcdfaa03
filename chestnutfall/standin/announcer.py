"""Announcements of stand-in upstreams to gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp


class Announcer:
    """Posts announcements to every gateway.

    Parameters
    ----------
    addresses : iterable of str
        Addresses at which gateways listen for announcements.
    key_file : str
        File with the key of the service.
    announcement : callable
        Returns the JSON object to send now.
    """

    def __init__(
        self, addresses: Iterable[str], key_file: str, announcement: Callable[[], dict[str, Any]]
    ) -> None:
        with open(key_file, encoding="utf-8") as file:
            self._headers = {"Authorization": f"Bearer {file.read().strip()}"}
        self._urls = [f"http://{address}/v1/announcements" for address in addresses]
        self._announcement = announcement

    async def run(self, every_ms: int) -> None:
        """Announce every `every_ms` until cancelled."""
        async with aiohttp.ClientSession(trust_env=False) as session:
            while True:
                await self.once(session)
                await asyncio.sleep(every_ms / 1000)

    async def once(self, session: aiohttp.ClientSession) -> None:
        """Announce to every gateway once; gives up on those that do not answer within 300 ms."""
        await asyncio.gather(*(self._post(session, url) for url in self._urls))

    async def _post(self, session: aiohttp.ClientSession, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=0.3)
        body = self._announcement()
        try:
            async with session.post(url, json=body, headers=self._headers, timeout=timeout) as resp:
                await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
