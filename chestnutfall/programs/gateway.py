"""`chestnutfall-gateway`: the program on every entry host."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid

from aiohttp import web

from ..caller_edge import CallerApp, CallerLimits, ControlQuotaLine
from ..clock import SystemClock
from ..control.control_client import ControlClient
from ..engine_edge.http_engine_api import ATTEMPT_HEADER, HttpEngineApi
from ..limits.known_limits import KnownLimits
from ..limits.messages import HeardLimit
from ..membership import GatewayAgent, UpstreamRegistry
from ..membership.announce_app import AnnounceApp
from ..observability.json_logs import start_logs
from ..observability.metrics import Metrics
from ..observability.tracing import start_tracing
from ..ownership import TICKET_CODEC, EngineOwners
from ..ownership.load_permits import ControllerPermits
from ..peers import PeerLinks, PeerServer
from ..peers.peer_server import METHOD as TICKETS_METHOD
from ..plain_edge import PlainProxy
from ..quarantine import ReportSender, RequestQuarantine, refuses_connections
from ..quota.quota_enforcer import QuotaEnforcer
from ..routing import ClaimClient, Dispatcher
from ..settings.gateway_settings import GatewaySettings
from ..settings.quota_bounds import CALLER_QUOTA_BOUNDS
from ..signals import UnreadHeaders
from ..signals.known_backoffs import KnownBackoffs
from ..signals.known_signals import KnownSignals
from ..signals.messages import HeardBackoff
from ..signals.own_headers import OWN_SIGNALS
from ..wire import RpcServer
from ..wire.http_listener import listen
from .event_loop import run
from .runner import load_settings, parser

log = logging.getLogger(__name__)
DRAIN_POLL_MS = 50
WHOLE = 1.0
"""Plain upstreams have no leader here; gateways share all that they take."""


def main() -> None:
    """Parse the command line and run one gateway until SIGTERM, then drain."""
    cli = parser(
        "chestnutfall-gateway",
        "Takes requests of callers and sends each to an engine with the exact adapter.",
    )
    args = cli.parse_args()
    settings = load_settings(GatewaySettings, args)
    start_logs(settings.observability.log_level, "gateway", settings.name)
    run(lambda stop: _Gateway(settings).serve(stop))


class _Gateway:
    """The parts of one gateway, wired together."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        tls = settings.tls.files() if settings.tls else None
        session = f"{settings.name}#{uuid.uuid4().hex[:12]}"
        metrics = Metrics(settings.observability.statsd, "gateway")
        tracer = start_tracing(settings.observability.trace_file, "gateway", settings.name)
        self._client = ControlClient(settings.controllers, self._clock, tls)
        self._registry = UpstreamRegistry(self._clock)
        self._agent = GatewayAgent(
            session,
            settings.peer_listen,
            settings.data_centre,
            self._client,
            self._registry,
            self._clock,
            settings.config_lease_ms,
        )
        self._api = HttpEngineApi(UnreadHeaders((*OWN_SIGNALS.all, ATTEMPT_HEADER), metrics.count))
        permits = ControllerPermits(self._client, session, self._clock)
        self._desk = EngineOwners(
            self._agent,
            self._registry,
            self._api,
            permits,
            self._clock,
            metrics,
            lambda other: self._is_gone(other),
        )
        self._peer_server = PeerServer(self._desk, self._clock)
        self._links = PeerLinks(self._agent, self._desk, self._clock, tls)
        self._claims = ClaimClient(self._client, session)
        reports = ReportSender(self._client)
        quarantine = RequestQuarantine(reports.send, refuses_connections, self._clock)
        self._agent.on_suspects = quarantine.update
        self._registry.on_replaced = quarantine.note_replaced
        limits = KnownLimits(self._tell_limit, self._gateways, self._clock, random.Random(), WHOLE)
        backoffs = KnownBackoffs(self._tell_backoff, self._clock)
        signals = KnownSignals(limits, backoffs, self._clock)
        self._plain = PlainProxy(
            self._agent,
            self._registry,
            self._claims,
            quarantine,
            signals,
            self._clock,
            metrics,
            settings.data_centre,
        )
        line = ControlQuotaLine(self._client, self._clock)
        self._quotas = QuotaEnforcer(
            line, self._gateways, CALLER_QUOTA_BOUNDS, self._clock, random.Random()
        )
        line.on_news = self._quotas.apply
        dispatcher = Dispatcher(
            self._agent,
            self._registry,
            self._links,
            self._api,
            quarantine,
            signals,
            self._clock,
            metrics,
            tracer,
            random.Random(),
            settings.data_centre,
        )
        self._app = CallerApp(
            self._agent,
            dispatcher,
            self._claims,
            self._plain,
            CallerLimits(self._quotas, self._clock),
            self._clock,
            metrics,
            tracer,
        )
        self._tls = tls
        self._registry.is_drained = lambda name: self._agent.config.is_drained(name)
        self._agent.acting = self._desk.acting
        self._agent.on_change = self._on_change

    def _tell_limit(self, heard: HeardLimit) -> None:
        self._links.report_limit(heard.instance.partition("/")[0], heard)

    def _tell_backoff(self, heard: HeardBackoff) -> None:
        self._links.report_backoff(heard.instance.partition("/")[0], heard)

    def _gateways(self) -> int:
        return len(self._agent.gateways)

    def _on_change(self) -> None:
        self._desk.reconcile_ownership()
        self._links.update_links()

    def _is_gone(self, session: str) -> bool:
        """Whether a gateway has neither a session with the controllers nor a stream to us."""
        if session == self._agent.session:
            return False
        return session not in self._agent.gateways and not self._peer_server.is_connected(session)

    async def serve(self, stop: asyncio.Event) -> int:
        """Serve until `stop`, then drain."""
        peers = RpcServer(self._settings.peer_listen, self._tls)
        peers.add_stream(TICKETS_METHOD, TICKET_CODEC, self._peer_server.serve)
        await peers.start()
        callers = web.AppRunner(
            self._app.build(), handler_cancellation=True, access_log=None, shutdown_timeout=1.0
        )
        announced = web.AppRunner(AnnounceApp(self._agent, self._registry).build(), access_log=None)
        await listen(announced, self._settings.announce_listen)
        await listen(callers, self._settings.listen)
        log.info("gateway: %s listens on %s", self._settings.name, self._settings.listen)
        agent = asyncio.ensure_future(self._agent.run())
        owners = asyncio.ensure_future(self._watch_leases())
        quotas = asyncio.ensure_future(self._quotas.run())
        await stop.wait()
        await self._drain(agent)
        owners.cancel()
        quotas.cancel()
        await callers.cleanup()
        await announced.cleanup()
        await self._links.close()
        await peers.stop()
        await self._api.close()
        await self._plain.close()
        await self._client.close()
        log.info("gateway: %s stopped", self._settings.name)
        return 0

    async def _watch_leases(self) -> None:
        """Stop acting for engines when the session's lease runs out without a word."""
        while True:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
            self._desk.reconcile_ownership()

    async def _drain(self, agent: asyncio.Task[None]) -> None:
        """Leave without cutting anything off.

        First "not ready", so that the balancer sends no new callers; then new requests are
        refused; then engines are handed over; then requests in progress end by themselves.
        """
        log.info("gateway: draining with %d requests in progress", self._app.in_progress)
        self._app.ready = False
        await self._clock.sleep_ms(self._settings.not_ready_ms)
        self._app.refusing = True
        while self._app.in_progress:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        self._agent.leaving = True
        await self._desk.close()
        agent.cancel()
        await asyncio.gather(agent, return_exceptions=True)
        await self._agent.send_heartbeat()
        await self._claims.close()


if __name__ == "__main__":
    main()
