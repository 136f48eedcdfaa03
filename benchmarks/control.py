"""Speed of the control plane with 3 controllers and 9 gateways.

`python -m benchmarks.control` starts them as processes and measures the time without a leader after
SIGKILL and after SIGSTOP of the leader, the acknowledged changes per second, and the time from the
acceptance of a change until it is in force on all 9 gateways.
"""

from __future__ import annotations

import asyncio
import signal
import time

import numpy as np
import uvloop

from chestnutfall.operators import OperatorSession
from chestnutfall.operators.operator_session import CommandFailed
from chestnutfall.tests.process_office import ProcessOffice

ROUNDS = 5
"""Losses of the leader by each signal."""
CHANGES = 200
"""Changes whose acknowledgement is timed."""
IN_FORCE_CHANGES = 40
"""Changes that are timed until every gateway has applied them."""


async def _change(session: OperatorSession, revision: int, number: int) -> int:
    patch = {"base": {"limits": {"default": {"request_ms": 1000 + number}}}}
    return await session.change(patch, revision, "", f"change {number}", False)


async def _leaderless_ms(office: ProcessOffice, signum: signal.Signals) -> float:
    """Return the time from the signal to the leader until another leader answers a read."""
    async with office.operator() as session:
        leader = (await session.status()).leader
        office.signal(leader, signum)
        started = time.monotonic()
        while True:
            try:
                if (await session.status()).leader != leader:
                    break
            except CommandFailed:
                pass
        took_ms = (time.monotonic() - started) * 1000
    if signum is signal.SIGKILL:
        office.wait_exit(leader)
        office.start_controller(int(leader[1:]))
    else:
        office.signal(leader, signal.SIGCONT)
    await asyncio.sleep(2)
    return took_ms


async def _measure_changes(office: ProcessOffice) -> None:
    async with office.operator() as session:
        revision, _ = await session.layers()
        times = []
        started = time.monotonic()
        for number in range(CHANGES):
            before = time.monotonic()
            revision = await _change(session, revision, number)
            times.append((time.monotonic() - before) * 1000)
        per_s = CHANGES / (time.monotonic() - started)
        p50, p95 = np.percentile(times, [50, 95])
        print(
            f"changes one after another: {per_s:.0f} a second, p50 {p50:.1f} ms, p95 {p95:.1f} ms"
        )
        in_force = []
        for number in range(CHANGES, CHANGES + IN_FORCE_CHANGES):
            revision = await _change(session, revision, number)
            before = time.monotonic()
            while min(g.revision for g in (await session.status()).gateways) < revision:
                await asyncio.sleep(0.005)
            in_force.append((time.monotonic() - before) * 1000)
        p50, p95, most = np.percentile(in_force, [50, 95, 100])
        print(
            f"in force on all 9 gateways, as their heartbeats say, {IN_FORCE_CHANGES} changes: "
            f"p50 {p50:.0f} ms, p95 {p95:.0f} ms, most {most:.0f} ms"
        )


async def _measure(office: ProcessOffice) -> None:
    await _measure_changes(office)
    for signum in (signal.SIGKILL, signal.SIGSTOP):
        times = [await _leaderless_ms(office, signum) for _ in range(ROUNDS)]
        shown = ", ".join(f"{ms:.0f}" for ms in sorted(times))
        print(f"no leader after {signum.name}, ms, {ROUNDS} times: {shown}")


def main() -> None:
    """Start the processes, measure, and stop them."""
    office = ProcessOffice(controllers=3, gateways=9, engines=1)
    try:
        office.start()
        uvloop.run(_measure(office))
    finally:
        office.stop()


if __name__ == "__main__":
    main()
