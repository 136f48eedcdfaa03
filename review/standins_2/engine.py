"""A model engine, as PROTOCOL.md tells it: orders, reports, heartbeats and streams."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from typing import Any

from .deployment import Deployment
from .http_parts import head, read_body, read_head

RESET = struct.pack("ii", 1, 0)
BEAT_S = 1.2
LOAD_S = 0.25
IN_TRANSIT = 4
DOWN_S = 2.0


class Engine:
    """Holds one model and adapters of it, and crashes if it is ordered to hold too much.

    Attributes
    ----------
    over : list of str
        Orders that were beyond `weights_mb` or `adapter_slots`.
    ran, cut : list of str
        Requests that it began to run, and those that its crashes cut.
    """

    def __init__(
        self, deployment: Deployment, service: str, host: int, engine: dict[str, Any]
    ) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._service = service
        self._ip = deployment.address(host)
        self._spec = engine
        self._model = engine["models"][0]
        self._port = 0
        self.over: list[str] = []
        self.ran: list[str] = []
        self.cut: list[str] = []
        self.most_held = 0
        self._begin()

    def _begin(self) -> None:
        """Start as a new incarnation: empty but for its model."""
        self.name = f"i-{random.randrange(16**8):08x}"
        self._beats = self._orders = self._fence = 0
        self._held: dict[str, int] = {}
        self._coming: dict[str, int] = {}
        self._running: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_up = True

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._beat())

    def stop(self) -> None:
        """End at once; its connections are reset."""
        self._is_up = False
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    # Heartbeats

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            message = {
                "service": self._service,
                "addr": f"{self._ip}:{self._port}",
                "zone": "zone-1",
                "version": "v1",
                "slots": self._spec["slots"],
                "state": "ready",
                "cold_left_ms": 0,
                "stage": "mixed",
                "models": self._models(),
                "seq": self._beats,
            }
            for core in random.sample(self._deployment.cores, len(self._deployment.cores)):
                path = f"/v1/instances/{self.name}"
                call = asyncio.to_thread(self._deployment.call, core, "PUT", path, message)
                if (await call)[0] == 200:
                    break
            await asyncio.sleep(BEAT_S)

    def _models(self) -> list[dict[str, Any]]:
        adapters = [f"{name}@{version}" for name, version in self._held.items()]
        return [{"name": self._model["name"], "version": 1, "adapters": adapters}]

    # Requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self._is_up:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._answer(writer, first, headers, body)
        except (OSError, EOFError, asyncio.CancelledError):
            # The other end closed the connection, or this engine ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, first: str, headers: dict[str, str], body: bytes
    ) -> None:
        path = first.split()[1]
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            await self._send(writer, "421 Misdirected Request", request_id, not_run=True)
        elif path == "/v1/report":
            await self._send(writer, "200 OK", body=json.dumps(self._report()).encode())
        elif path == "/v1/order":
            await self._send(writer, self._order(json.loads(body)))
        else:
            await self._run(writer, headers, request_id)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        request_id: str = "",
        not_run: bool = False,
        body: bytes = b"",
    ) -> None:
        headers: list[tuple[str, object]] = [("Content-Length", len(body))]
        headers.append(("X-Instance-Id", self.name))
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if not_run:
            headers.append(("X-Not-Executed", "1"))
        writer.write(head(f"HTTP/1.1 {status}", headers) + body)
        await writer.drain()

    def _report(self) -> dict[str, Any]:
        model = self._model["name"]
        return {
            "stage": "mixed",
            "models": self._models(),
            "coming": [f"{model}/{name}@{version}" for name, version in self._coming.items()],
            "busy": False,
            "seq": self._orders,
            "queued": 0,
            "running": len(self._running),
            "kv_used": 0,
            "kv_total": self._spec["kv_capacity"],
            "handles": 0,
        }

    async def _run(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], request_id: str
    ) -> None:
        adapter = headers.get("x-model", "").partition("/")[2]
        if adapter in self._coming or adapter in self._leaving:
            await self._send(writer, "503 Service Unavailable", request_id, not_run=True)
            return
        if adapter and adapter not in self._held:
            await self._send(writer, "421 Misdirected Request", request_id, not_run=True)
            return
        begin = int(headers.get("last-event-id", "0")) + 1
        self.ran.append(request_id)
        self._record.note(f"{self.name} runs {request_id} ({adapter}) from event {begin}")
        self._running[request_id] = adapter
        try:
            await self._write_events(writer, request_id, begin)
        finally:
            self._running.pop(request_id, None)

    async def _write_events(
        self, writer: asyncio.StreamWriter, request_id: str, begin: int
    ) -> None:
        load = f"{len(self._running)},0,{self._spec['slots']}"
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("X-Request-Id", request_id),
            ("X-Response-Stamp", f"stamp.{request_id}"),
            ("X-Instance-Id", self.name),
            ("X-Instance-Load", load),
            ("X-Weight-Versions", 1),
        ]
        await asyncio.sleep(0.04)
        writer.write(head("HTTP/1.1 200 OK", headers))
        for number in range(begin, 11):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    # Orders

    def _order(self, order: dict[str, Any]) -> str:
        if order["fencing_token"] < self._fence:
            return "412 Precondition Failed"
        self._fence = order["fencing_token"]
        if order.get("expect", self._orders) != self._orders:
            return "409 Conflict"
        adapter = order.get("adapter", "")
        if order["operation"] == "load":
            return self._load(adapter, order.get("version") or 1)
        if adapter not in self._held:
            return "200 OK"
        self._orders += 1
        if adapter in self._running.values():
            self._leaving.add(adapter)
            self._spawn(self._drop_when_unused(adapter))
            return "202 Accepted"
        self._held.pop(adapter)
        return "200 OK"

    async def _drop_when_unused(self, adapter: str) -> None:
        while adapter in self._running.values():
            await asyncio.sleep(0.01)
        self._held.pop(adapter, None)
        self._leaving.discard(adapter)

    def _load(self, adapter: str, version: int) -> str:
        if not adapter or adapter in self._held or adapter in self._coming:
            return "200 OK"
        if len(self._coming) >= IN_TRANSIT:
            return "409 Conflict"
        count = len(self._held) + len(self._coming) + 1
        self.most_held = max(self.most_held, count)
        weights_mb = self._model["weights_mb"] + count * self._model["adapter_mb"]
        if weights_mb > self._spec["weights_mb"] or count > self._spec["adapter_slots"]:
            self.over.append(adapter)
            self._record.note(
                f"{self.name} is ordered to load {adapter}: with it, {count} adapters and "
                f"{weights_mb:.0f} MB of weights; it has {self._spec['weights_mb']:.0f} MB and "
                f"{self._spec['adapter_slots']} places. It crashes"
            )
            self._crash()
            return "202 Accepted"
        self._orders += 1
        self._coming[adapter] = version
        self._spawn(self._finish_load(adapter, version))
        return "202 Accepted"

    async def _finish_load(self, adapter: str, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self._coming.pop(adapter, None)
        self._held[adapter] = version

    def _crash(self) -> None:
        cut = list(self._running)
        self.cut += cut
        self._record.note(f"{self.name} has crashed; it was running {', '.join(cut) or 'nothing'}")
        self.stop()
        self._restarting = asyncio.ensure_future(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        self._begin()
        await self.start()
        self._record.note(f"it is back, empty, as {self.name}")
