"""Two engines whose memory for weights is full before their places for adapters are.

For some seconds rare adapters are asked for. Each engine has room for five adapters beside its
model, and 16 places. The rule is that no engine is ordered to load more than its memory holds.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

from ..standins_2.deployment import TROUBLE, CannotRun, Deployment, Record, document
from ..standins_2.engine import Engine
from ..standins_2.http_parts import Answer, ask

SERVICE = "drafts"
MODEL = "m0"
ENGINE = {
    "slots": 64,
    "kv_capacity": 268177,
    "kv_bytes": 163840,
    "link_mbps": 530000.0,
    "models": [
        {
            "name": MODEL,
            "weights_mb": 72700.0,
            "load_s": 1.1,
            "adapters": 3000,
            "adapter_mb": 450.0,
            "warm_s": 0.32,
            "disk_s": 0.44,
        }
    ],
    "weights_mb": 75200.0,
    "adapter_slots": 16,
    "loads_per_s": 4.9,
}
USUAL_PER_S = 10.0
USUAL_ADAPTERS = ("a1", "a2", "a3", "a4")
RARE_ADAPTERS = tuple(f"a{number}" for number in range(2000, 2040))
BURST_FROM_S, BURST_S, BURST_X = 5.0, 4.5, 2.4
"""`burst` with `class` and `x = 2.4`, `for_s = 4.5` is the largest of the site."""
PLAY_S = 15.0


class Traffic:
    """Clients that send streams which may not be repeated."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.ends: dict[str, int] = {}

    async def send(self, per_s: float, adapters: tuple[str, ...], for_s: float) -> None:
        until_s = self._record.now() + for_s
        while self._record.now() < until_s:
            task = asyncio.ensure_future(self._request(random.choice(adapters)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _request(self, adapter: str) -> None:
        request_id = f"r{next(self._numbers)}"
        front = random.choice(self._deployment.fronts)
        headers = (
            ("X-Request-Id", request_id),
            ("X-Model", f"{MODEL}/{adapter}"),
            ("X-Token-Counts", "491,70"),
            ("X-Prompt-Prefix", f"aa01:155,{random.randrange(2**32):08x}:336"),
            ("X-Deadline-Ms", "4000"),
        )
        answer = await ask(
            front.ip, self._deployment.front, "POST", "/drafts/new", headers, b"draft", 6.0
        )
        end = describe(answer)
        self.ends[end] = self.ends.get(end, 0) + 1
        self._record.note(f"client: {request_id} ({adapter}) ends: {end}")


def describe(answer: Answer) -> str:
    if answer.status == 200:
        return "200, whole" if answer.is_whole else "200, broken off"
    return str(answer.status) if answer.status else "connection closed"


async def play(deployment: Deployment, record: Record) -> bool:
    """Return whether no engine was ordered to hold more than it can."""
    deployment.start()
    engines = [Engine(deployment, SERVICE, host, ENGINE) for host in (30, 31)]
    for one in engines:
        await one.start()
    route = {
        "name": "r-1",
        "host": "permits.example",
        "path_prefix": "/drafts/",
        "kind": "stream",
        "timeout_ms": 4000,
        "slo_ms": 500,
        "priority": 0,
        "service": SERVICE,
        "attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_aim_ms": 300,
    }
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_conns": 370,
        "protocol": "h1",
        "tls": False,
        "engine": ENGINE,
    }
    await deployment.call_any("PUT", "/v1/config", document(7, [route], [service]), 30)
    await deployment.wait_until_ready()
    await asyncio.sleep(2.5)
    record.note("the configuration is in force; the usual traffic begins")
    traffic = Traffic(deployment)
    sending = [traffic.send(USUAL_PER_S, USUAL_ADAPTERS, PLAY_S)]
    if TROUBLE:
        sending.append(burst(traffic, record))
    await asyncio.gather(*sending)
    for one in engines:
        one.stop()
    record.note(f"ends of the clients' requests: {traffic.ends}")
    record.note(f"most adapters at once: {[one.most_held for one in engines]}")
    cut = [request_id for one in engines for request_id in one.cut]
    record.note(f"requests that crashes cut off: {len(cut)}")
    if not traffic.ends.get("200, whole"):
        raise CannotRun("no request was served")
    return not any(one.over for one in engines)


async def burst(traffic: Traffic, record: Record) -> None:
    await asyncio.sleep(BURST_FROM_S)
    record.note(f"rare adapters are asked for: {BURST_X} times the traffic for {BURST_S} s")
    await traffic.send(USUAL_PER_S * (BURST_X - 1), RARE_ADAPTERS, BURST_S)


def main() -> int:
    record = Record(Path(__file__).resolve().parent)
    try:
        deployment = Deployment(record, cores=3, fronts=2, tolerate=1)
        try:
            held = asyncio.run(play(deployment, record))
        finally:
            deployment.stop()
    except CannotRun as exc:
        record.note(f"the case could not run: {exc}")
        return 2
    record.note("the rule held" if held else "BROKEN: ordered to load more than weights_mb holds")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
