"""Requests that crash every upstream that runs them; gateways must quarantine them."""

from __future__ import annotations

import asyncio
import random

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.upstream import FATAL_BODY

from .office import Office

ENDS_BEFORE_REFUSAL = 3
"""Upstreams that crash before a request is refused; two may crash under a request by chance."""
MAX_LATER_ENDS = 3
"""Further crashes that are tolerated after every gateway had time to learn of the quarantine."""
QUARANTINE_DELAY_S = 3.0
"""Time in which every gateway learns of a quarantine."""
CONTENTS = {"long": FATAL_BODY + b"stream", "again": FATAL_BODY + b"lookup"}
"""Body by route: a resumable stream of an engine, and an idempotent call of a plain service."""
SERVED_POLLS = 100
POLL_S = 0.1
"""Interval of requests to a gateway that does not serve yet; `SERVED_POLLS` of them are sent."""


class NotServed(AssertionError):
    """A gateway did not serve harmless requests within ten seconds."""


class FatalRequests:
    """Sends fatal requests to the gateways of an office and counts the crashes."""

    def __init__(self, office: Office, client: StandInClient) -> None:
        self._office = office
        self._client = client

    async def send_until_cancelled(self, rng: random.Random, seen: list[ClientResult]) -> None:
        """Send fatal requests to random gateways until cancelled; append each result to `seen`."""
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1.2))
            route = rng.choice(list(CONTENTS))
            address = self._office.client_address(rng.choice(self._office.gateways))
            seen.append(await self._client.send(address, route, CONTENTS[route]))

    async def send_until_quarantined(self, route: str) -> int:
        """Send until `ENDS_BEFORE_REFUSAL` upstreams crashed, then wait `QUARANTINE_DELAY_S`.

        Returns
        -------
        int
            Crashes under the body of `route` so far.

        Raises
        ------
        NotServed
        """
        while self.ends(route) < ENDS_BEFORE_REFUSAL:
            await self.send_to_each_gateway(route)
        await asyncio.sleep(QUARANTINE_DELAY_S)
        return self.ends(route)

    async def send_to_each_gateway(self, route: str) -> list[ClientResult]:
        """Send the request once to each gateway, each time after upstreams serve again.

        Raises
        ------
        NotServed
        """
        seen = []
        for gateway in self._office.gateways:
            address = self._office.client_address(gateway)
            await self.wait_until_served(address, route)
            seen.append(await self._client.send(address, route, CONTENTS[route]))
        return seen

    async def wait_until_served(self, address: str, route: str) -> None:
        """Wait until the gateway at `address` serves a harmless request.

        Raises
        ------
        NotServed
            After ten seconds.
        """
        for _ in range(SERVED_POLLS):
            if (await self._client.send(address, route)).status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise NotServed(f"{route} is not served at {address}")

    def ends(self, route: str) -> int:
        """Return the number of crashes under the body of a route."""
        return self._office.run_registry.ends[CONTENTS[route]]
