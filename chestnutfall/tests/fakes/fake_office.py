"""A deployment at one site: the real decision code of gateways, fake engines, a manual clock."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Coroutine
from typing import Any

from opentelemetry import trace

from ...caller_edge.request_parser import parse_request
from ...config.layered_config import BASE_LAYER
from ...limits.known_limits import KnownLimits
from ...membership import Announcement, GatewayAgent, UpstreamRegistry
from ...observability.metrics import Metrics
from ...ownership import EngineOwners
from ...ownership.load_permits import ControllerPermits
from ...quarantine import RequestQuarantine
from ...quarantine.report_sender import ReportSender
from ...requests import CallerRequest, digest_of, key_digest
from ...routing import ClaimClient, ClaimRequest, Dispatcher
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_signals import KnownSignals
from .fake_control import FakeControl, FakeControlClient
from .fake_engine import FakeEngine, FakeEngines
from .fake_links import FakeLinks
from .node_clock import NodeClock

SITE = "nodo-centro"
ANNOUNCE_MS = 500
DIGEST = "sha256:" + "ab" * 32


class FakeGateway:
    """One gateway's objects, from admission to dispatch, without sockets."""

    def __init__(self, office: FakeOffice, name: str) -> None:
        self.office = office
        self.alive = True
        self.clock = NodeClock(office.control.clock)
        self.session = f"{name}#{len(office.gateways)}{office.restarts}"
        self.metrics = Metrics(None, "gateway")
        self.client = FakeControlClient(office.control, self.clock)
        self.registry = UpstreamRegistry(self.clock)
        self.agent = GatewayAgent(
            self.session, "127.0.0.1:1", SITE, self.client, self.registry, self.clock, 6000
        )
        permits = ControllerPermits(self.client, self.session, self.clock)
        self.engine_owners = EngineOwners(
            self.agent,
            self.registry,
            office.engines,
            permits,
            self.clock,
            self.metrics,
            lambda other: other not in self.agent.gateways and other != self.session,
        )
        self.links = FakeLinks(
            self.agent, self.engine_owners, self.clock, lambda: office.by_session()
        )
        self.claims = ClaimClient(self.client, self.session)
        reports = ReportSender(self.client)
        self.quarantine = RequestQuarantine(
            reports.send, office.engines.refuses_connections, self.clock
        )
        self.agent.on_suspects = self.quarantine.update
        self.registry.on_replaced = self.quarantine.note_replaced
        limits = KnownLimits(
            lambda report: self.links.report_limit(report.instance.partition("/")[0], report),
            lambda: len(self.agent.gateways),
            self.clock,
            random.Random(1),
            leaderless_fraction=1.0,
        )
        backoffs = KnownBackoffs(
            lambda report: self.links.report_backoff(report.instance.partition("/")[0], report),
            self.clock,
        )
        self.signals = KnownSignals(limits, backoffs, self.clock)
        self.dispatcher = Dispatcher(
            self.agent,
            self.registry,
            self.links,
            office.engines,
            self.quarantine,
            self.signals,
            self.clock,
            self.metrics,
            trace.get_tracer("test"),
            random.Random(1),
            SITE,
        )
        self.registry.is_drained = lambda upstream: self.agent.config.is_drained(upstream)
        self.agent.acting = self.engine_owners.acting
        self.agent.on_change = self.engine_owners.reconcile_ownership
        self.tasks = [
            asyncio.ensure_future(self.agent.run()),
            asyncio.ensure_future(self._watch_leases()),
        ]

    async def _watch_leases(self) -> None:
        while True:
            await self.clock.sleep_ms(50)
            self.engine_owners.reconcile_ownership()

    async def kill(self) -> None:
        """End the process at once, without any message to others."""
        self.alive = False
        self.clock.freeze()
        for task in self.tasks:
            task.cancel()

    def request(self, model: str, text: str = "", **headers: str) -> CallerRequest:
        """Build a caller's request as this gateway parses it.

        Parameters
        ----------
        model : str
            Adapter, with `@version` for an exact version.
        headers : str
            Headers by name, with `_` in place of `-`.
        """
        body = json.dumps({"model": model, "stream": True, "prompt": text}).encode()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return parse_request(
            self.agent.config, "ana", "/v1/completions", named, body, self.clock.now_ms(), {}
        )

    async def answer(self, req: CallerRequest) -> list[bytes]:
        """Run a request, under a claim if it has a key, and return the data of its events."""
        if not req.claim_key:
            return [event.data async for events in self.dispatcher.answer(req) for event in events]
        digest = digest_of(req.path, req.body)
        wanted = ClaimRequest(req.caller, req.claim_key, digest, req.request_id, 3_600_000)
        async with self.claims.held(wanted):
            return [event.data async for events in self.dispatcher.answer(req) for event in events]


class FakeOffice:
    """Controllers, gateways and engines of one site.

    Attributes
    ----------
    announced : dict
        Engine and announced state ("serving" or "leaving") by engine name.
    gateways : dict of str to FakeGateway
        Gateways by name.
    """

    def __init__(self, seed: int = 1) -> None:
        self.control = FakeControl(seed)
        self.clock = self.control.clock
        self.engines = FakeEngines()
        self.announced: dict[str, tuple[FakeEngine, str]] = {}
        self.gateways: dict[str, FakeGateway] = {}
        self.restarts = 0
        self._tasks: list[asyncio.Task[None]] = []

    def by_session(self) -> dict[str, FakeGateway]:
        """Return the gateways by session."""
        return {gateway.session: gateway for gateway in self.gateways.values()}

    async def start(self, gateways: int = 2, engines: int = 1, slots: int = 2) -> None:
        """Start all processes and wait until each engine has an acting owner."""
        await self.control.start()
        await self.control.change(self._first_configuration())
        for number in range(engines):
            self.add_engine(f"engine-{number}", slots)
        for number in range(gateways):
            self.add_gateway(f"entry-{number}")
        self._tasks.append(asyncio.ensure_future(self._announce()))
        await self.clock.advance(3000)

    def add_engine(self, name: str, slots: int, checked: bool = True) -> FakeEngine:
        """Add an engine that announces itself to all gateways."""
        engine = FakeEngine(self.clock, slots, checked)
        self.engines.by_address[f"127.0.0.1:{len(self.announced) + 1}"] = engine
        self.announced[name] = (engine, "serving")
        return engine

    def engine(self, number: int = 0) -> FakeEngine:
        """Return the engine with this number."""
        return self.announced[f"engine-{number}"][0]

    def add_gateway(self, name: str) -> FakeGateway:
        """Start a gateway."""
        self.gateways[name] = FakeGateway(self, name)
        return self.gateways[name]

    def gateway(self, number: int = 0) -> FakeGateway:
        """Return the gateway with this number."""
        return self.gateways[f"entry-{number}"]

    def owner(self, engine: str = "engine-0") -> FakeGateway:
        """Return the gateway that owns `engine`, by the controllers' state."""
        return self.by_session()[self.control.state.owners[engine].owner]

    def other(self, gateway: FakeGateway) -> FakeGateway:
        """Return another gateway that is alive."""
        return next(g for g in self.gateways.values() if g is not gateway and g.alive)

    async def _announce(self) -> None:
        while True:
            addresses = {id(engine): a for a, engine in self.engines.by_address.items()}
            for name, (engine, state) in self.announced.items():
                if not engine.reachable:
                    continue
                announcement = Announcement(
                    name=name,
                    service="redactor-ia",
                    data_centre=SITE,
                    address=addresses[id(engine)],
                    incarnation=engine.incarnation,
                    ttl_ms=1500,
                    state=state,  # type: ignore[arg-type]
                )
                for gateway in self.gateways.values():
                    if gateway.alive:
                        gateway.registry.register(announcement)
            await self.clock.sleep_ms(ANNOUNCE_MS)

    async def finish(self, work: Coroutine[Any, Any, Any], within_ms: int = 20_000) -> Any:
        """Advance the clock until `work` has ended, and return its result."""
        task = asyncio.ensure_future(work)
        for _ in range(within_ms // 10):
            if task.done():
                break
            await self.clock.advance(10)
        if not task.done():
            task.cancel()
            raise AssertionError(f"not done within {within_ms} ms")
        return task.result()

    async def done(self, task: asyncio.Task[Any], within_ms: int = 20_000) -> Any:
        """Advance the clock until `task` has ended, and return its result."""
        return await self.finish(_wait(task), within_ms)

    async def stop(self) -> None:
        """Stop the gateways, the announcements and the controllers."""
        for gateway in self.gateways.values():
            await gateway.kill()
        for task in self._tasks:
            task.cancel()
        await self.control.stop()

    @staticmethod
    def _first_configuration() -> dict[str, Any]:
        adapters = {
            f"a{number}": {"service": "redactor-ia", "versions": {"1": DIGEST}}
            for number in range(9)
        }
        adapters["once"] = {**adapters["a0"], "non_idempotent": True}  # type: ignore[dict-item]
        return {
            BASE_LAYER: {
                "sites": {SITE: {}},
                "services": {
                    "redactor-ia": {
                        "kind": "engine",
                        "announce_key_sha256": key_digest("engines"),
                        "silent_ms": 1000,
                    }
                },
                "adapters": adapters,
                "callers": {"ana": {"key_sha256": key_digest("ana"), "adapters": ["*"]}},
            }
        }


async def _wait(task: asyncio.Task[Any]) -> Any:
    return await task
