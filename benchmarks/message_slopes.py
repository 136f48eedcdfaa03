"""Processor time and bytes of each kind of message; both ends run in one process."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import aiohttp
from aiohttp import web

from chestnutfall.clock import SystemClock
from chestnutfall.config.typed_config import TypedConfig
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
from chestnutfall.requests import key_digest
from chestnutfall.wire import RpcChannel, RpcServer

from .meter import cpu_us, loopback_bytes
from .slope import Slope, fit

CALLS = (500, 1000, 2000)


async def message_slopes() -> list[Slope]:
    """Measure each kind of message at several numbers of calls."""
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
    """Return processor time in µs and loopback bytes of `work`."""
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


class _GrantingOwners:
    """Stands for `EngineOwners`: grants every ticket at once, and publishes one given view."""

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
    """Sleeps 0.5 ms instead of the time asked for, so that views are sent without pauses."""

    async def sleep_ms(self, ms: float) -> None:
        await asyncio.sleep(0.0005)


@contextlib.asynccontextmanager
async def _link(owners: _GrantingOwners, clock: SystemClock) -> Any:
    server = RpcServer("127.0.0.1:0")
    server.add_stream("Tickets", TICKET_CODEC, PeerServer(owners, clock).serve)  # type: ignore[arg-type]
    await server.start()
    link = PeerLink("entry-1#abcdef012345", f"127.0.0.1:{server.port}", SystemClock(), None)
    task = asyncio.ensure_future(link.run())
    while link._outgoing is None:
        await asyncio.sleep(0.01)
    yield link
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await server.stop(0)


async def _tickets(count: int) -> tuple[float, float]:
    adapter = "tejas-de-arcilla@17+0123456789abcdef"
    async with _link(_GrantingOwners(), SystemClock()) as link:

        async def work() -> None:
            for number in range(count):
                attempt_id = f"{number:032x}-1"
                await link.acquire(TicketRequest(attempt_id, "engine-1", adapter, 1, 1000))
                link.release_ticket(TicketEnd(attempt_id))

        return await _cost(work)


async def _views(count: int) -> tuple[float, float]:
    owners = _GrantingOwners()
    ready = tuple(f"tejas-{number}@17+0123456789abcdef" for number in range(8))
    async with _link(owners, _FastClock()) as link:

        async def work() -> None:
            for number in range(count):
                owners.publish(EngineView("engine-1", ready, number, 0))
                while "engine-1" not in link.views or link.views["engine-1"].running != number:
                    await asyncio.sleep(0)

        return await _cost(work)


async def _announcements(count: int) -> tuple[float, float]:
    class Agent:
        config = TypedConfig()

    service = {"kind": "engine", "announce_key_sha256": key_digest("key")}
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
