"""Processor time of calls that are far apart.

`python -m benchmarks.sparse` sends heartbeats over gRPC, and POST requests of the same size over
HTTP, a few per second to another process, and prints the sender's processor time for each. Calls in
quick succession, as in `benchmarks.slopes`, cost less since threads and caches are warm.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import uvloop
from aiohttp import web

from chestnutfall.control.messages import CONTROL_CODEC, Heartbeat, HeartbeatReply
from chestnutfall.tests.process_office import free_address
from chestnutfall.wire import RpcChannel, RpcServer

from .meter import cpu_us

SECONDS = 5.0
SERVER_START_S = 3.0
RATES = (2.5, 20.0, 200.0)
"""Calls per second; 2.5 is the rate of a gateway's heartbeats."""
HEARTBEAT = Heartbeat(
    "entry-1#ab", "10.0.0.1:1", "nodo", 1, "ab" * 32, None, ("engine-1",), False, "1.1"
)
REPLY = HeartbeatReply(1500, 1, "ab" * 32, (), None, "1.1", None, None, ())


async def _serve(grpc_address: str, http_address: str) -> None:
    async def beat(msg: Any, context: Any) -> Any:
        return REPLY

    async def post(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=bytes(150))

    server = RpcServer(grpc_address)
    server.add_unary("Control", CONTROL_CODEC, beat)
    await server.start()
    app = web.Application()
    app.router.add_post("/", post)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    ip, port = http_address.split(":")
    await web.TCPSite(runner, ip, int(port)).start()
    await asyncio.sleep(3600)


async def _cost_us(call: Callable[[], Awaitable[Any]], per_s: float) -> float:
    """Return the mean processor time of a call at a rate, µs."""
    await call()
    count = max(int(SECONDS * per_s), 1)
    before = cpu_us()
    for _ in range(count):
        await asyncio.sleep(1 / per_s)
        await call()
    return (cpu_us() - before) / count


async def _measure(grpc_address: str, http_address: str) -> None:
    await asyncio.sleep(SERVER_START_S)
    print(
        "| calls a second | heartbeat over gRPC, µs each | post over HTTP, µs each |\n|---|---|---|"
    )
    channel = RpcChannel(grpc_address, CONTROL_CODEC)
    async with aiohttp.ClientSession(trust_env=False) as session:

        async def beat() -> None:
            await channel.call("Control", HEARTBEAT, 5000)

        async def post() -> None:
            async with session.post(f"http://{http_address}/", data=bytes(300)) as resp:
                await resp.read()

        for per_s in RATES:
            by_grpc, by_http = await _cost_us(beat, per_s), await _cost_us(post, per_s)
            print(f"| {per_s} | {by_grpc:.0f} | {by_http:.0f} |", flush=True)
    await channel.close()


def main() -> None:
    """Start the server in another process, measure, and stop it."""
    if len(sys.argv) == 3:
        uvloop.run(_serve(sys.argv[1], sys.argv[2]))
        return
    addresses = free_address(), free_address()
    server = subprocess.Popen([sys.executable, "-m", "benchmarks.sparse", *addresses])
    try:
        uvloop.run(_measure(*addresses))
    finally:
        server.kill()
        server.wait()


if __name__ == "__main__":
    main()
