"""The cost of each message and each thing kept, at several sizes.

`python -m benchmarks.slopes` prints the table that docs/CAPACITY.md is worked out from. Messages
are measured with both ends in one process, so their processor time is that of both sides. Memory is
the growth of a fresh process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import aiohttp
import uvloop
from aiohttp import web

from chestnutfall.clock import SystemClock
from chestnutfall.config.layered_config import BASE_LAYER, LayeredConfig
from chestnutfall.config.site_config import SiteConfig
from chestnutfall.config.typed_config import TypedConfig, key_hash
from chestnutfall.config.validation import validate_site
from chestnutfall.consensus import Member, Replica, Timing, Transport
from chestnutfall.consensus.disk_folder import DiskFolder
from chestnutfall.consensus.file_storage import FileStorage
from chestnutfall.control.commands import COMMAND_CODEC, ChangeConfig, TakeClaim
from chestnutfall.control.control_state import ControlState
from chestnutfall.control.messages import CONTROL_CODEC, Heartbeat, HeartbeatReply
from chestnutfall.membership import UpstreamRegistry
from chestnutfall.membership.announce_app import AnnounceApp
from chestnutfall.ownership import (
    TICKET_CODEC,
    EngineView,
    TicketEnd,
    TicketGrant,
    TicketRequest,
)
from chestnutfall.peers import PeerLink, PeerServer
from chestnutfall.wire import RpcChannel, RpcServer

from .meter import cpu_us, loopback_bytes, resident_bytes
from .slope import Slope, fit

CALLS = (500, 1000, 2000)
ADAPTERS = (3_000, 30_000, 120_000)
SITE = "site"


def main() -> None:
    """Measure everything and print one Markdown table; a kind as argument measures one point."""
    logging.disable(logging.WARNING)
    if len(sys.argv) == 3:
        print(json.dumps(_memory_points()[sys.argv[1]](int(sys.argv[2]))))
        return
    print("| what | slope | fixed | residual | points |")
    print("|---|---|---|---|---|")
    for slope in uvloop.run(_message_slopes()):
        print(slope.row(), flush=True)
    for slope in [*_change_slopes(), *_memory_slopes(), *uvloop.run(_log_slopes())]:
        print(slope.row(), flush=True)


# Messages


async def _message_slopes() -> list[Slope]:
    found = []
    for name, measure in (
        ("heartbeat and reply", _heartbeats),
        ("ticket: request, grant, end", _tickets),
        ("engine view, 8 adapters", _views),
        ("announcement over HTTP", _announcements),
    ):
        cpu, sent = [], []
        for count in CALLS:
            used_us, used_bytes = await measure(count)
            cpu.append((count, used_us))
            sent.append((count, used_bytes))
        found.append(fit(f"{name}, both sides", "µs", cpu))
        found.append(fit(f"{name}, bytes on the wire both ways", "bytes", sent))
    return found


async def _cost(work: Callable[[], Awaitable[Any]]) -> tuple[float, float]:
    before_us, before_bytes = cpu_us(), loopback_bytes()
    await work()
    return cpu_us() - before_us, loopback_bytes() - before_bytes


async def _heartbeats(count: int) -> tuple[float, float]:
    heartbeat = Heartbeat(
        "entry-1#abcdef012345",
        "10.0.0.1:7001",
        "nodo-centro",
        1234,
        "ab" * 32,
        None,
        ("engine-1", "engine-2"),
        False,
        "12.34",
    )
    reply = HeartbeatReply(1500, 1234, "ab" * 32, (), None, "12.34", None, None, ())

    async def answer(msg: Any, context: Any) -> Any:
        return reply

    server = RpcServer("127.0.0.1:0")
    server.add_unary("Control", CONTROL_CODEC, answer)
    await server.start()
    channel = RpcChannel(f"127.0.0.1:{server.port}", CONTROL_CODEC)
    await channel.call("Control", heartbeat, 1000)

    async def work() -> None:
        for _ in range(count):
            await channel.call("Control", heartbeat, 1000)

    cost = await _cost(work)
    await channel.close()
    await server.stop(0)
    return cost


class _GrantingDesk:
    """Grants at once, and publishes what it is told to."""

    def __init__(self) -> None:
        self.published: list[EngineView] = []
        self._changed = asyncio.Event()

    async def acquire(self, req: TicketRequest, session: str) -> TicketGrant:
        return TicketGrant(req.attempt_id, 0)

    def end(self, msg: TicketEnd) -> None:
        pass

    def views(self) -> list[EngineView]:
        return self.published

    @contextlib.contextmanager
    def watched_views(self) -> Iterator[asyncio.Event]:
        yield self._changed

    def publish(self, view: EngineView) -> None:
        self.published = [view]
        self._changed.set()


class _FastClock(SystemClock):
    async def sleep_ms(self, ms: float) -> None:
        await asyncio.sleep(0.0005)


@contextlib.asynccontextmanager
async def _link(desk: _GrantingDesk, clock: SystemClock) -> Any:
    server = RpcServer("127.0.0.1:0")
    server.add_stream("Tickets", TICKET_CODEC, PeerServer(desk, clock).serve)  # type: ignore[arg-type]
    await server.start()
    link = PeerLink("entry-1#abcdef012345", f"127.0.0.1:{server.port}", SystemClock(), None)
    task = asyncio.ensure_future(link.run())
    while link._out is None:
        await asyncio.sleep(0.01)
    yield link
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await server.stop(0)


async def _tickets(count: int) -> tuple[float, float]:
    adapter = "tejas-de-arcilla@17+0123456789abcdef"
    async with _link(_GrantingDesk(), SystemClock()) as link:

        async def work() -> None:
            for number in range(count):
                attempt_id = f"{number:032x}-1"
                await link.acquire(TicketRequest(attempt_id, "engine-1", adapter, 1, 1000))
                link.end(TicketEnd(attempt_id))

        return await _cost(work)


async def _views(count: int) -> tuple[float, float]:
    desk = _GrantingDesk()
    ready = tuple(f"tejas-{number}@17+0123456789abcdef" for number in range(8))
    async with _link(desk, _FastClock()) as link:

        async def work() -> None:
            for number in range(count):
                desk.publish(EngineView("engine-1", ready, number, 0))
                while "engine-1" not in link.views or link.views["engine-1"].running != number:
                    await asyncio.sleep(0)

        return await _cost(work)


async def _announcements(count: int) -> tuple[float, float]:
    class Agent:
        config = TypedConfig()

    service = {"kind": "engine", "announce_key_sha256": key_hash("key")}
    Agent.config.update({"services": {"redactor": service}}, [("services", "redactor")])
    app = AnnounceApp(Agent, UpstreamRegistry(SystemClock()))  # type: ignore[arg-type]
    runner = web.AppRunner(app.build(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    body = {
        "name": "engine-1",
        "service": "redactor",
        "data_centre": "nodo-centro",
        "address": "10.0.0.1:9000",
        "incarnation": "ab" * 16,
        "ttl_ms": 1500,
        "running": 3,
    }
    async with aiohttp.ClientSession(trust_env=False) as session:

        async def work() -> None:
            for _ in range(count):
                url = f"http://127.0.0.1:{port}/v1/announcements"
                headers = {"Authorization": "Bearer key"}
                async with session.post(url, json=body, headers=headers) as resp:
                    await resp.read()

        cost = await _cost(work)
    await runner.cleanup()
    return cost


# Configuration


def _base(adapters: int, sites: int = 1) -> dict[str, Any]:
    rng = random.Random(1)
    return {
        "sites": {SITE if number == 0 else f"{SITE}-{number}": {} for number in range(sites)},
        "services": {"redactor": {"kind": "engine", "announce_key_sha256": key_hash("key")}},
        "adapters": {
            f"oficina-{number % 300}-tarea-{number}": {
                "service": "redactor",
                "versions": {str(v): f"sha256:{rng.getrandbits(256):064x}" for v in range(1, 3)},
            }
            for number in range(adapters)
        },
    }


def _change(number: int, patch: Any, revision: int) -> bytes:
    return COMMAND_CODEC.encode(
        ChangeConfig(f"change {number}", "ana", revision, json.dumps({BASE_LAYER: patch}), "", 0)
    )


def _state(adapters: int, sites: int = 1) -> ControlState:
    state = ControlState()
    state.apply(1, _change(0, _base(adapters, sites), 0))
    return state


def _timed_us(work: Callable[[], Any], times: int) -> float:
    before = cpu_us()
    for _ in range(times):
        work()
    return (cpu_us() - before) / times


def _change_slopes() -> list[Slope]:
    leader, gateway, whole, validating, dump, restore = [], [], [], [], [], []
    for size in ADAPTERS:
        state = _state(size)
        patch = {"adapters": {"oficina-0-tarea-0": {"versions": {"9": "sha256:" + "ab" * 32}}}}
        numbers = iter(range(1, 10_000))

        def one_change(state: ControlState = state, numbers: Any = numbers, p: Any = patch) -> None:
            number = next(numbers)
            state.apply(number + 1, _change(number, p, state.revision))

        leader.append((size, _timed_us(one_change, 200)))
        layers = LayeredConfig(json.loads(json.dumps(state.layers.layers)))
        site = SiteConfig(SITE, layers)
        typed = TypedConfig()
        names = list(layers.names(SITE))
        whole.append((size, _timed_us(lambda t=typed, s=site, n=names: t.update(s.entries, n), 1)))

        def one_delta(
            layers: LayeredConfig = layers,
            site: SiteConfig = site,
            typed: TypedConfig = typed,
            p: Any = patch,
        ) -> None:
            touched = layers.apply({BASE_LAYER: p})
            site.update(layers, touched)
            typed.update(site.entries, touched)

        gateway.append((size, _timed_us(one_delta, 200)))
        entries = site.entries
        validating.append(
            (size, _timed_us(lambda e=entries, n=names: validate_site(SITE, e, {}, n), 1))
        )
        data = state.dump()
        dump.append((size, _timed_us(lambda s=state: s.dump(), 1)))
        restore.append((size, _timed_us(lambda d=data: ControlState().restore(d), 1)))
    per = "µs per adapter present"
    return [
        fit("a change applied by a controller (one site)", per, leader),
        fit("a change applied by a gateway", per, gateway),
        fit("a whole configuration taken over by a gateway", per, whole),
        fit("validation of a whole new site", per, validating),
        fit("snapshot written", per, dump),
        fit("snapshot read", per, restore),
    ]


# Memory


def _memory_points() -> dict[str, Callable[[int], float]]:
    return {"gateway": _gateway_memory, "controller": _controller_memory, "claims": _claim_memory}


def _gateway_memory(adapters: int) -> float:
    base = _base(adapters)
    text = json.dumps({BASE_LAYER: base})
    del base
    before = resident_bytes()
    layers = LayeredConfig(json.loads(text))
    site = SiteConfig(SITE, layers)
    typed = TypedConfig()
    typed.update(site.entries, layers.names(SITE))
    return float(resident_bytes() - before)


def _controller_memory(adapters: int) -> float:
    data = _change(0, _base(adapters), 0)
    before = resident_bytes()
    state = ControlState()
    state.apply(1, data)
    return float(resident_bytes() - before)


def _claim_memory(claims: int) -> float:
    state = ControlState()
    before = resident_bytes()
    for number in range(claims):
        state.apply(number + 1, _claim(number))
    return float(resident_bytes() - before)


def _claim(number: int) -> bytes:
    attempt = f"{number:032x}"
    take = TakeClaim("contratista", attempt, "ab" * 32, attempt, "entry-1#abcdef", 86_400_000)
    return COMMAND_CODEC.encode(take)


def _memory_slopes() -> list[Slope]:
    plans = (
        ("gateway", "adapter in a gateway", ADAPTERS),
        ("controller", "adapter in a controller (one site)", ADAPTERS),
        ("claims", "claim in a controller", (20_000, 60_000, 180_000)),
    )
    return [
        fit(what, "bytes resident", [(size, _fresh(kind, size)) for size in sizes])
        for kind, what, sizes in plans
    ]


def _fresh(kind: str, size: int) -> float:
    command = [sys.executable, "-m", "benchmarks.slopes", kind, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(json.loads(done.stdout))


# The log


class _Nobody(Transport):
    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        raise ConnectionError("alone")


async def _log_slopes() -> list[Slope]:
    one, many, one_cpu, many_cpu, size = [], [], [], [], []
    for count in CALLS:
        took_ms, used_us, written = await _claims(count, at_once=1)
        one.append((count, took_ms))
        one_cpu.append((count, used_us))
        size.append((count, written))
        took_ms, used_us, _ = await _claims(count, at_once=64)
        many.append((count, took_ms))
        many_cpu.append((count, used_us))
    return [
        fit("claim committed one by one, synced, one replica", "ms", one),
        fit("claim committed 64 at once, synced, one replica", "ms", many),
        fit("claim committed one by one, processor", "µs", one_cpu),
        fit("claim committed 64 at once, processor", "µs", many_cpu),
        fit("claim in the write-ahead log", "bytes", size),
    ]


async def _claims(count: int, at_once: int) -> tuple[float, float, float]:
    with tempfile.TemporaryDirectory() as path:
        folder = DiskFolder(Path(path))
        storage = FileStorage(folder)
        await storage.bootstrap((Member("a", "a"),))
        replica = Replica(
            "a",
            storage,
            ControlState(),
            _Nobody(),
            SystemClock(),
            random.Random(1),
            Timing(),
            10**9,
        )
        replica.start()
        while not replica.can_decide():
            await asyncio.sleep(0.05)
        numbers = iter(range(count))

        async def worker() -> None:
            for number in numbers:
                await replica.propose(_claim(number))

        before, started = cpu_us(), time.monotonic()
        await asyncio.gather(*(worker() for _ in range(at_once)))
        took_ms, used = (time.monotonic() - started) * 1000, cpu_us() - before
        written = sum(len(folder.read(name)) for name in folder.names() if "wal" in name)
        await replica.stop()
        folder.close()
    return took_ms, used, written


if __name__ == "__main__":
    main()
