"""Processor time of admitting a request: hashing its key, finding the organisation, its quota.

`python -m benchmarks.admission` prints microseconds per request by the number of organisations.
"""

from __future__ import annotations

import asyncio
import random
import time

from chestnutfall.clock import SystemClock
from chestnutfall.forwarding.admission import Admission
from chestnutfall.forwarding.call import Call
from chestnutfall.quota.quota_enforcer import QuotaEnforcer
from chestnutfall.requests import key_digest
from chestnutfall.routes import (
    Document,
    DocumentLimits,
    Organisation,
    Quota,
    QuotaUnit,
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
)
from chestnutfall.settings.quota_bounds import QuotaBounds
from chestnutfall.tests.fakes.fake_upstreams import ScriptedQuotaClient

REQUESTS = 20_000
ORGANISATION_COUNTS = (1, 16, 10_000)
# So large that every request is admitted.
QUOTA = Quota(QuotaUnit.TOKENS, 1e9, 1e9, 200)
BOUNDS = QuotaBounds(8_000, 0.1, 110_000)


async def _admission_us(count: int) -> float:
    """Return processor time per admitted request, µs, with `count` organisations."""
    keys = [f"key-{number}" for number in range(count)]
    organisations = tuple(
        Organisation(f"office-{number}", (key_digest(key),), None, QUOTA)
        for number, key in enumerate(keys)
    )
    targets = (WeightedService("s", 1),)
    route = Route("r", "a.example", "/a/", RouteKind.STREAM, 4000, 500, 1, targets, 1)
    table = RouteTable(Document(1, (route,), (), DocumentLimits(), organisations))
    quota_client, clock = ScriptedQuotaClient(), SystemClock()
    admission = Admission(QuotaEnforcer(quota_client, lambda: 81, BOUNDS, clock, random.Random(1)))
    started_s = time.process_time()
    for number in range(REQUESTS):
        digest = key_digest(keys[number % count])
        call = Call(
            "id", "GET", "/a/", "/a/", "a.example", (), b"", 0, 9, tokens=712, key_digest=digest
        )
        await admission.charge(call, admission.holder(call, table, route), 10**15)
        quota_client.reported.clear()
    return (time.process_time() - started_s) * 1e6 / REQUESTS


def main() -> None:
    """Print a line for each number of organisations."""
    print("organisations  us a request")
    for count in ORGANISATION_COUNTS:
        print(f"{count:13d} {asyncio.run(_admission_us(count)):13.1f}")


if __name__ == "__main__":
    main()
