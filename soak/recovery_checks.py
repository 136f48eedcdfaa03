"""Checks of a deployment on which no more faults act."""

from __future__ import annotations

import asyncio

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.operator import StandInOperator
from chestnutfall.platform.standin.tenants import LEAVES_AT_VERSION

from .fatal_requests import CONTENTS, MAX_LATER_ENDS, FatalRequests, NotServed
from .office import Office
from .organisation_load import OrganisationLoad
from .verdict import Verdict

ROUTES = ("once", "again", "draft", "long")
FATAL_ROUNDS = 4
"""Fatal requests of each route to each gateway after the quarantine has begun.

Without a quarantine each of them would crash two upstreams.
"""
RECOVERY_S = 8.0
"""Time in which the office must serve again after the last fault."""


class RecoveryChecks:
    """What must hold once the faults have ended."""

    def __init__(self, office: Office, client: StandInClient, verdict: Verdict) -> None:
        self._office = office
        self._client = client
        self._verdict = verdict

    async def check_document(
        self, operator: StandInOperator, acknowledged: int, moment: str
    ) -> None:
        """Note a document that is older than one whose storage was acknowledged."""
        read = None
        for _ in range(int(RECOVERY_S * 10)):
            read = await operator.read()
            if read is not None:
                break
            await asyncio.sleep(0.1)
        lost = read is None or read < acknowledged
        self._verdict.note_violation(lost, f"{moment}: read {read}, acknowledged {acknowledged}")

    async def check_served(self, moment: str) -> None:
        """Note gateways that do not serve each route."""
        for gateway in self._office.gateways:
            unserved = await self._unserved(self._office.client_address(gateway))
            self._verdict.note_violation(
                bool(unserved), f"{gateway.plan.name} does not serve {moment}: {unserved}"
            )

    async def check_revoked_key(self, acknowledged: int) -> None:
        """Note gateways that take a key which a version that is in force revoked."""
        if acknowledged >= LEAVES_AT_VERSION:
            await OrganisationLoad(self._office, self._client).check_revoked_key(self._verdict)

    async def _unserved(self, gateway: str) -> str:
        """Return what a gateway last answered on routes that it does not serve in time."""
        unserved = ""
        for _ in range(int(RECOVERY_S * 5)):
            seen = [await self._client.send(gateway, route) for route in ROUTES]
            failed = [f"{one.route} {one.status} {one.reason}" for one in seen if one.status != 200]
            unserved = ", ".join(failed)
            if not unserved:
                break
            await asyncio.sleep(0.2)
        return unserved

    async def check_quarantine(self, seen: list[ClientResult]) -> None:
        """Note fatal requests that gateways keep sending; append the results to `seen`."""
        fatal = FatalRequests(self._office, self._client)
        for route in CONTENTS:
            try:
                ends = await fatal.send_until_quarantined(route)
                for _ in range(FATAL_ROUNDS):
                    seen += await fatal.send_to_each_gateway(route)
            except NotServed as exc:
                self._verdict.note_violation(True, f"beside fatal requests: {exc}")
                continue
            self._verdict.counts[f"ended by {route}"] = fatal.ends(route)
            more = fatal.ends(route) - ends
            self._verdict.note_violation(
                more > MAX_LATER_ENDS, f"{route}: {more} upstreams more ended"
            )
