"""`chestnutfall-gateway`: runs one gateway, which takes the requests of callers."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid

from ..accounts import open_account
from ..caller_edge import CallerApp, CallerLimits, ControlQuotaClient
from ..clock import SystemClock
from ..control.control_client import ControlClient
from ..control.upstream_record import UpstreamRecord
from ..engine_edge.http_engine_api import ATTEMPT_HEADER, HttpEngineApi
from ..engine_edge.own_upstream_http import OwnUpstreamHttp
from ..limits.known_limits import KnownLimits
from ..limits.messages import HeardLimit
from ..membership import GatewayAgent, UpstreamRegistry
from ..membership.announce_app import AnnounceApp
from ..membership.peer_helpers import PeerHelpers
from ..observability.json_logs import start_logs
from ..observability.loop_delay import LoopDelay
from ..observability.metrics import Metrics
from ..observability.tracing import start_tracing
from ..ownership import TICKET_CODEC, EngineOwners
from ..ownership.load_permits import ControllerPermits
from ..paths.helped_upstream_api import HelpedUpstreamApi
from ..paths.helper_api import HELPER_SILENCE_MS
from ..paths.helper_links import HelperLinks
from ..paths.helper_service import HelperService
from ..paths.known_helpers import KnownHelpers
from ..paths.link_prober import LinkProber
from ..paths.messages import CHECK_METHOD, HELP_CODEC, HELP_METHOD, MAX_MESSAGE_BYTES
from ..paths.path_table import PathTable
from ..paths.port_witness import PortWitness
from ..peers import PeerLinks, PeerServer
from ..peers.peer_server import METHOD as TICKETS_METHOD
from ..plain_edge import PlainProxy
from ..plain_edge.plain_answer import EXECUTED_HEADER
from ..quarantine import RequestQuarantine, refuses_connections
from ..quarantine.port_check import opens_connection
from ..quarantine.report_sender import ReportSender
from ..quota.quota_enforcer import QuotaEnforcer
from ..routing import ClaimClient, Dispatcher
from ..rush import ConnectionGate
from ..rush.accepted_site import AcceptedSite
from ..rush.bounded_runner import BoundedRunner
from ..rush.gated_runner import GatedRunner
from ..settings.gateway_settings import GatewaySettings
from ..settings.quota_bounds import CALLER_QUOTA_BOUNDS
from ..signals import UnreadHeaders
from ..signals.known_backoffs import KnownBackoffs
from ..signals.known_signals import KnownSignals
from ..signals.messages import HeardBackoff
from ..signals.own_headers import OWN_SIGNALS
from ..wire import RpcServer
from .command_line import load_settings, make_parser
from .event_loop import run

log = logging.getLogger(__name__)
POLL_MS = 50
"""Interval of checks of the session's lease, and of the requests in progress while draining."""
PLAIN_LIMIT_FRACTION = 1.0
"""The gateways share a plain upstream's whole limit, since no leader counts requests to it."""


def main() -> None:
    """Parse the command line and run one gateway until SIGTERM or SIGINT, then drain."""
    cli = make_parser(
        "chestnutfall-gateway",
        "Takes requests of callers and sends each to an engine with the exact adapter.",
    )
    args = cli.parse_args()
    settings = load_settings(GatewaySettings, args)
    start_logs(settings.observability.log_level, "gateway", settings.name)
    run(lambda stop: _Gateway(settings).serve(stop))


class _Gateway:
    """Builds the components of one gateway and runs them."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._tls = settings.tls.files() if settings.tls else None
        self._metrics = Metrics(settings.observability.statsd, "gateway")
        self._account = open_account(settings.limits, self._clock, self._metrics.count)
        self._tracer = start_tracing(settings.observability.trace_file, "gateway", settings.name)
        self._client = ControlClient(settings.controllers, self._clock, self._tls)
        self._registry = UpstreamRegistry(self._clock)
        self._agent = GatewayAgent(
            f"{settings.name}#{uuid.uuid4().hex[:12]}",
            settings.peer_listen,
            settings.data_centre,
            self._client,
            self._registry,
            self._clock,
            settings.config_lease_ms,
        )
        names = (*OWN_SIGNALS.all, ATTEMPT_HEADER, EXECUTED_HEADER)
        unread = UnreadHeaders(names, self._metrics.count)
        self._direct = OwnUpstreamHttp(unread)
        self._helper_links = HelperLinks(self._direct, self._clock, self._tls)
        self._helpers = KnownHelpers(self._clock, random.Random())
        self._peer_helpers = PeerHelpers(self._agent, self._helpers)
        self._upstreams = HelpedUpstreamApi(
            self._direct,
            self._helper_links,
            self._helpers,
            self._make_paths(),
            opens_connection,
            self._peer_helpers.is_alone,
            self._clock,
            self._account.memory,
        )
        self._api = HttpEngineApi(self._upstreams, self._account.memory)
        self._engine_owners = self._make_engine_owners()
        self._peer_server = PeerServer(self._engine_owners, self._clock)
        self._links = PeerLinks(self._agent, self._engine_owners, self._clock, self._tls)
        self._claims = ClaimClient(self._client, self._agent.session)
        signals = self._make_signals()
        quarantine = self._make_quarantine(signals)
        self._plain = self._make_plain_proxy(quarantine, signals)
        self._helper = self._make_helper(signals)
        self._quotas = self._make_quota_enforcer()
        self._app = CallerApp(
            self._agent,
            self._make_dispatcher(quarantine, signals),
            self._claims,
            self._plain,
            CallerLimits(self._quotas, self._clock),
            self._clock,
            self._metrics,
            self._tracer,
            self._account,
        )
        self._registry.is_drained = lambda name: self._agent.config.is_drained(name)
        self._agent.acting = self._engine_owners.acting
        self._agent.on_change = self._on_change

    def _make_engine_owners(self) -> EngineOwners:
        return EngineOwners(
            self._agent,
            self._registry,
            self._api,
            ControllerPermits(self._client, self._agent.session, self._clock),
            self._clock,
            self._metrics,
            self._is_gone,
        )

    def _make_quarantine(self, signals: KnownSignals) -> RequestQuarantine:
        reports = ReportSender(self._client)
        witness = PortWitness(
            refuses_connections, self._helper_links, self._helpers, self._peer_helpers.is_alone
        )
        quarantine = RequestQuarantine(
            reports.send, witness.has_ended, self._clock, signals.rejections.rejected_since
        )
        self._agent.on_suspects = quarantine.update
        self._registry.on_replaced = quarantine.note_replaced
        return quarantine

    def _make_signals(self) -> KnownSignals:
        limits = KnownLimits(
            self._report_limit,
            self._gateway_count,
            self._clock,
            random.Random(),
            PLAIN_LIMIT_FRACTION,
        )
        return KnownSignals(limits, KnownBackoffs(self._report_backoff, self._clock), self._clock)

    def _make_plain_proxy(self, quarantine: RequestQuarantine, signals: KnownSignals) -> PlainProxy:
        return PlainProxy(
            self._agent,
            self._registry,
            self._claims,
            quarantine,
            signals,
            self._clock,
            self._metrics,
            self._settings.data_centre,
            self._upstreams,
            self._account.memory,
        )

    def _make_paths(self) -> PathTable:
        """Make the table of links, which are tried while they are cut and sent to controllers."""
        paths = PathTable(self._clock)
        prober = LinkProber(paths, self._upstream_record, opens_connection, self._clock)

        def on_link(instance: str, is_cut: bool) -> None:
            if is_cut:
                prober.begin()

        paths.on_link = on_link
        self._agent.cut_links = lambda: sorted(paths.cut_instances())
        return paths

    def _make_helper(self, signals: KnownSignals) -> HelperService:
        return HelperService(
            self._upstreams,
            self._peer_helpers.accepts,
            signals,
            self._upstream_record,
            lambda: [one.record for one in self._registry.serving()],
            opens_connection,
            refuses_connections,
            self._clock,
            random.Random(),
            self._account.memory,
        )

    def _upstream_record(self, instance: str) -> UpstreamRecord | None:
        found = (one for one in self._registry.serving() if one.instance == instance)
        one = next(found, None)
        return one.record if one is not None else None

    def _make_quota_enforcer(self) -> QuotaEnforcer:
        client = ControlQuotaClient(self._client, self._clock)
        enforcer = QuotaEnforcer(
            client, self._gateway_count, CALLER_QUOTA_BOUNDS, self._clock, random.Random()
        )
        client.on_quotas = enforcer.apply
        return enforcer

    def _make_dispatcher(self, quarantine: RequestQuarantine, signals: KnownSignals) -> Dispatcher:
        return Dispatcher(
            self._agent,
            self._registry,
            self._links,
            self._api,
            quarantine,
            signals,
            self._clock,
            self._metrics,
            self._tracer,
            random.Random(),
            self._settings.data_centre,
        )

    def _report_limit(self, report: HeardLimit) -> None:
        self._links.report_limit(report.instance.partition("/")[0], report)

    def _report_backoff(self, report: HeardBackoff) -> None:
        self._links.report_backoff(report.instance.partition("/")[0], report)

    def _gateway_count(self) -> int:
        return len(self._agent.gateways)

    def _on_change(self) -> None:
        self._engine_owners.reconcile_ownership()
        self._links.update_links()
        self._peer_helpers.update()

    def _is_gone(self, session: str) -> bool:
        """Whether a gateway has neither a controller session nor a stream to this gateway."""
        if session == self._agent.session:
            return False
        return session not in self._agent.gateways and not self._peer_server.is_connected(session)

    async def serve(self, stop: asyncio.Event) -> int:
        """Serve until `stop`, then drain; return the exit code of the process."""
        peers = RpcServer(
            self._settings.peer_listen, self._tls, HELPER_SILENCE_MS, MAX_MESSAGE_BYTES
        )
        peers.add_stream(TICKETS_METHOD, TICKET_CODEC, self._peer_server.serve)
        peers.add_stream(HELP_METHOD, HELP_CODEC, self._helper.serve)
        peers.add_unary(CHECK_METHOD, HELP_CODEC, self._helper.check_port)
        await peers.start()
        callers = GatedRunner(
            self._app.build(),
            ConnectionGate(self._clock, self._metrics.count),
            self._account,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=1.0,
        )
        app = AnnounceApp(self._agent, self._registry).build()
        announced = BoundedRunner(app, self._account, access_log=None)
        await announced.setup()
        await AcceptedSite(announced, self._settings.announce_listen).start()
        await callers.setup()
        await AcceptedSite(callers, self._settings.listen).start()
        log.info("gateway: %s listens on %s", self._settings.name, self._settings.listen)
        agent = asyncio.ensure_future(self._agent.run())
        lease_watch = asyncio.ensure_future(self._watch_leases())
        quotas = asyncio.ensure_future(self._quotas.run())
        delay = asyncio.ensure_future(LoopDelay(self._clock, self._metrics.timing).run())
        await stop.wait()
        await self._drain(agent)
        lease_watch.cancel()
        quotas.cancel()
        delay.cancel()
        await callers.cleanup()
        await announced.cleanup()
        await self._links.close()
        await peers.stop()
        await self._api.close()
        await self._helper_links.close()
        await self._direct.close()
        await self._client.close()
        log.info("gateway: %s stopped", self._settings.name)
        return 0

    async def _watch_leases(self) -> None:
        """Give up owned engines when the lease of this session expires.

        Without messages from the controllers no other event triggers this check.
        """
        while True:
            await self._clock.sleep_ms(POLL_MS)
            self._engine_owners.reconcile_ownership()

    async def _drain(self, agent: asyncio.Task[None]) -> None:
        """Leave the deployment without interrupting requests.

        The readiness check fails first, so that the load balancer sends no new callers. After
        `not_ready_ms`, new requests are refused and those in progress run to their end. Then the
        engines are handed over, and a last heartbeat tells the controllers of the departure.
        """
        log.info("gateway: draining with %d requests in progress", self._app.in_progress)
        self._app.ready = False
        await self._clock.sleep_ms(self._settings.not_ready_ms)
        self._app.refusing = True
        self._helper.refuse_new()
        while self._app.in_progress or self._helper.in_progress:
            await self._clock.sleep_ms(POLL_MS)
        self._agent.leaving = True
        await self._engine_owners.close()
        agent.cancel()
        await asyncio.gather(agent, return_exceptions=True)
        await self._agent.send_heartbeat()
        await self._claims.close()


if __name__ == "__main__":
    main()
