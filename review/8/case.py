"""Five controllers in three zones, of which the loss of one zone is to be borne.

One zone loses power and its disks, after a configuration was acknowledged. Once all five machines
are back, the operator reads the configuration.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from ..standins_2.deployment import TROUBLE, CannotRun, Deployment, Record, document

ZONES = ("zone-1", "zone-1", "zone-2", "zone-2", "zone-3")
SETTLED_S = 15.0
"""`catch_up_s` (4 s) after the start, and more than any time of the group of controllers."""
DOWN_S = 1.4
"""`wipe_after_ack` has `down_s = 1.4` at most in the site files."""
RECOVERY_S, STABLE_S = 12.0, 3.0
ROUTE = {
    "name": "r-1",
    "host": "permits.example",
    "path_prefix": "/status/",
    "kind": "unsafe",
    "timeout_ms": 1000,
    "slo_ms": 125,
    "priority": 0,
    "service": "counter",
    "attempts": 1,
}
SERVICE = {
    "name": "counter",
    "health_path": "/health",
    "max_conns": 110,
    "protocol": "h1",
    "tls": False,
}


async def play(deployment: Deployment, record: Record) -> bool:
    """Return whether the configuration that was acknowledged last is read back."""
    deployment.start()
    record.note("all machines start for the first time; the seeds are core-1, core-2 and core-3")
    await put(deployment, record, 7)
    await asyncio.sleep(SETTLED_S)
    await put(deployment, record, 8)
    if TROUBLE:
        lost = [one for one in deployment.cores if one.zone == ZONES[0]]
        for one in lost:
            one.kill()
        for one in lost:
            one.lose_disk()
        names = " and ".join(one.name for one in lost)
        record.note(f"{ZONES[0]}, with {names}, loses power and its disks, for {DOWN_S} s")
        await asyncio.sleep(DOWN_S)
        for one in lost:
            one.start(bootstrap=False)
        record.note(f"{names} are back")
        await asyncio.sleep(RECOVERY_S)
        record.note(f"all have been back for {RECOVERY_S:.0f} s")
    return await read_back(deployment, record, 8)


async def put(deployment: Deployment, record: Record, version: int) -> None:
    message = document(version, [ROUTE], [SERVICE])
    name = await deployment.call_any("PUT", "/v1/config", message, 20)
    record.note(f"{name} acknowledges version {version}")


async def read_back(deployment: Deployment, record: Record, version: int) -> bool:
    """Read from all machines for the stable window; whether the version came."""
    until_s = record.now() + STABLE_S + 1
    found = False
    while record.now() < until_s:
        for one in deployment.cores:
            if not one.is_running:
                raise CannotRun(f"{one.name} has ended")
            status, body = await asyncio.to_thread(deployment.call, one, "GET", "/v1/config")
            read = json.loads(body)["version"] if status == 200 else None
            found = found or read == version
            record.note(f"{one.name} answers a read with {status}, version {read}")
        await asyncio.sleep(0.3)
    return found


def main() -> int:
    record = Record(Path(__file__).resolve().parent)
    try:
        deployment = Deployment(
            record, cores=5, fronts=0, tolerate=1, tolerate_zones=1, zones=ZONES
        )
        try:
            held = asyncio.run(play(deployment, record))
        finally:
            deployment.stop()
    except CannotRun as exc:
        record.note(f"the case could not run: {exc}")
        return 2
    record.note("the rule held" if held else "BROKEN: what was acknowledged doesn't come")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
