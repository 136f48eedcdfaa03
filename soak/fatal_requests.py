"""Requests that end each upstream that runs them, and whether gateways stop sending them."""

from __future__ import annotations

import asyncio
import random

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.upstream import FATAL_BODY

from .office import Office

ENDS_BEFORE_REFUSAL = 3
"""Two upstreams may end under one request by chance, one after the other; a third is no chance."""
LATER_ENDS = 3
"""What users allow beyond that, once every gateway has had time to learn of it."""
LEARN_S = 3.0
"""Time in which every gateway learns of it."""
CONTENTS = {"long": FATAL_BODY + b"stream", "again": FATAL_BODY + b"lookup"}
"""Content by route: a stream that is resumed, and a lookup of a plain service."""
SERVED_POLLS = 100
POLL_S = 0.1


class NotServed(AssertionError):
    """A gateway does not serve usual requests within ten seconds."""


class FatalRequests:
    """Sends them to the gateways of an office."""

    def __init__(self, office: Office, client: StandInClient) -> None:
        self._office = office
        self._client = client

    async def now_and_then(self, rng: random.Random, seen: list[ClientResult]) -> None:
        """Send one or the other to some gateway again and again, until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1.2))
            route = rng.choice(list(CONTENTS))
            front = self._office.front(rng.choice(self._office.gateways))
            seen.append(await self._client.send(front, route, CONTENTS[route]))

    async def until_known(self, route: str) -> int:
        """Send until three upstreams ended and gateways could learn of it; ends so far."""
        while self.ends(route) < ENDS_BEFORE_REFUSAL:
            await self.everywhere(route)
        await asyncio.sleep(LEARN_S)
        return self.ends(route)

    async def everywhere(self, route: str) -> list[ClientResult]:
        """Send it once to each gateway, each time when upstreams are back."""
        seen = []
        for gateway in self._office.gateways:
            front = self._office.front(gateway)
            await self.until_served(front, route)
            seen.append(await self._client.send(front, route, CONTENTS[route]))
        return seen

    async def until_served(self, front: str, route: str) -> None:
        """Wait until a gateway serves what ends nobody.

        Raises
        ------
        NotServed
        """
        for _ in range(SERVED_POLLS):
            if (await self._client.send(front, route)).status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise NotServed(f"{route} is not served at {front}")

    def ends(self, route: str) -> int:
        """Upstreams that ended under the content of a route."""
        return self._office.book.ends[CONTENTS[route]]
