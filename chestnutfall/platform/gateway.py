"""Program `chestnutfall.platform.gateway`: serves clients' requests on the platform."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import uuid

from ..accounts import open_account
from ..clock import SystemClock
from ..concurrency.known_room import KnownRoom
from ..concurrency.leaderless_room import LeaderlessRoom
from ..concurrency.messages import RoomInForce
from ..connections import ConnectionPool
from ..connections.connection_share import kept_connections
from ..coordination.messages import FLEET_CODEC
from ..forwarding.admission import Admission
from ..forwarding.drain import drain
from ..forwarding.engine_upstream_selector import EngineUpstreamSelector
from ..forwarding.fleet_client import FleetClient
from ..forwarding.fleet_knowledge import FleetKnowledge
from ..forwarding.forwarder import Forwarder
from ..forwarding.leader_quota_client import LeaderQuotaClient
from ..forwarding.leader_turn_client import leader_turn_client
from ..forwarding.plain_upstream_selector import PlainUpstreamSelector
from ..forwarding.repeats import Repeats
from ..forwarding.request_ends import RequestEnds
from ..forwarding.sender import Sender
from ..forwarding.stream_origins import StreamOrigins
from ..forwarding.suspect_part_links import link_suspect_parts
from ..limits.known_limits import KnownLimits
from ..limits.messages import LimitsInForce
from ..observability.account_gauges import note_account
from ..observability.json_logs import start_logs
from ..observability.loop_delay import LoopDelay
from ..observability.prometheus_metrics import PrometheusMetrics
from ..observability.stdout_logs import StdoutHandler
from ..paths.drained_gateway import DrainedGateway
from ..paths.helped_upstream_api import HelpedUpstreamApi
from ..paths.helper_api import HELPER_SILENCE_MS
from ..paths.helper_links import HelperLinks
from ..paths.helper_service import HelperService
from ..paths.known_helpers import KnownHelpers
from ..paths.leader_messages import CanHelp, HelperGateways, HelpersByUpstream
from ..paths.link_prober import LinkProber
from ..paths.link_reporter import LinkReporter, report_for_new_leader
from ..paths.messages import CHECK_METHOD, HELP_CODEC, HELP_METHOD, MAX_MESSAGE_BYTES
from ..paths.path_table import PathTable
from ..paths.port_witness import PortWitness
from ..programs.event_loop import run
from ..quarantine import RequestQuarantine, refuses_connections
from ..quarantine.port_check import opens_connection
from ..quota.messages import QuotaNews
from ..quota.quota_enforcer import QuotaEnforcer
from ..routes import DocumentLimits
from ..rush import ConnectionGate, KeptLimits
from ..settings.fleet_settings import FleetSettings
from ..signals import UnreadHeaders
from ..signals.known_backoffs import KnownBackoffs
from ..signals.known_rejections import KnownRejections
from ..signals.known_signals import KnownSignals
from ..signals.messages import BackoffHints, RejectionsInForce
from ..wire import RpcServer
from . import header_names as names
from .document_json import DocumentJson
from .entry_server import EntryServer
from .metrics_server import serve_metrics
from .node_file import read_node_file
from .settings_watch import SettingsWatch
from .upstream_http import UpstreamHttp

log = logging.getLogger(__name__)


def main() -> None:
    """Run one gateway until SIGTERM, then drain it; SIGHUP reloads the settings file."""
    settings = read_node_file()
    run(lambda stop: _Gateway(settings).serve(stop))


class _Gateway:
    """Builds the components of one gateway and runs them."""

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = random.Random()
        self._metrics = PrometheusMetrics()
        start_logs("INFO", "gateway", settings.name, StdoutHandler(self._clock, self._metrics))
        self._account = open_account(settings.limits, self._clock, self._metrics.count)
        self._name = f"{settings.name}#{uuid.uuid4().hex[:6]}"
        self._known = FleetKnowledge(DocumentJson(), self._clock)
        self._fleet = FleetClient(
            self._name,
            settings.controllers,
            self._known,
            self._clock,
            settings.peer_address,
            settings.data_centre,
        )
        limits = DocumentLimits()
        self._kept = KeptLimits(
            limits.idle_timeout_ms, limits.header_timeout_ms, self._clock, self._metrics.count
        )
        self._make_upstreams()
        self._make_signals()
        self._quotas = self._make_quotas()
        witness = PortWitness(refuses_connections, self._links, self._helpers, self._is_alone)
        self._quarantine = RequestQuarantine(
            self._fleet.report, witness.has_ended, self._clock, self._rejections.rejected_since
        )
        link_suspect_parts(self._fleet, self._engine_selector, self._quarantine)
        self._helper = self._make_helper()
        self._entry = EntryServer(
            self._make_forwarder(),
            lambda: self._known.table is not None,
            self._limits,
            ConnectionGate(self._clock, self._metrics.count),
            self._kept,
            self._clock,
            RequestEnds(self._clock, self._metrics),
            self._account,
        )

    def _make_upstreams(self) -> None:
        """Make what sends to upstreams, over the own links and through helpers."""
        self._pool = ConnectionPool(self._kept_connections, self._metrics.count, self._clock)
        self._account.descriptors.idle = lambda: len(self._pool)
        unread = UnreadHeaders(names.ANSWER_HEADERS, self._metrics.count)
        self._direct = UpstreamHttp(unread, self._pool, self._clock)
        self._links = HelperLinks(self._direct, self._clock)
        self._paths = PathTable(self._clock)
        self._paths.on_change = lambda can_help: self._fleet.send(CanHelp(can_help))
        self._watch_links()
        self._helpers = KnownHelpers(self._clock, self._rng)
        self._fleet.on(HelperGateways, self._helpers.apply)
        self._fleet.on(HelpersByUpstream, self._helpers.apply_links)
        self._api = HelpedUpstreamApi(
            self._direct,
            self._links,
            self._helpers,
            self._paths,
            opens_connection,
            self._is_alone,
            self._clock,
            self._account.memory,
        )

    def _watch_links(self) -> None:
        """Report links to upstreams that fail, and try them until they are back."""
        reporter = LinkReporter(self._fleet.send, self._clock)
        prober = LinkProber(self._paths, self._known.upstream, opens_connection, self._clock)

        def on_link(instance: str, is_cut: bool) -> None:
            reporter.note(instance, is_cut)
            if is_cut:
                prober.begin()

        self._paths.on_link = on_link

    def _make_signals(self) -> None:
        """Make what keeps the signals of upstreams, and the selection of engines by them."""
        fleet, clock = self._fleet, self._clock
        self._upstream_limits = KnownLimits(fleet.send, self._gateways, clock, self._rng)
        fleet.on(LimitsInForce, self._upstream_limits.apply)
        self._backoffs = KnownBackoffs(fleet.send, clock)
        fleet.on(BackoffHints, self._backoffs.apply_hints)
        self._rejections = KnownRejections(fleet.send, clock)
        fleet.on(RejectionsInForce, self._rejections.apply)
        self._signals = KnownSignals(self._upstream_limits, self._backoffs, clock, self._rejections)
        self._room = KnownRoom(fleet.send, LeaderlessRoom(self._gateways, clock, self._rng), clock)
        fleet.on(RoomInForce, self._room.apply)
        self._engine_selector = EngineUpstreamSelector(
            fleet, self._signals, clock, self._name, self._settings.data_centre
        )
        self._origins = StreamOrigins(fleet, clock)
        fleet.on_knowledge = self._on_knowledge
        fleet.signals_to_resend = lambda: (
            *self._signals.reports_for_new_leader(),
            *self._room.reports_for_new_leader(),
            *self._engine_selector.running.reports_for_new_leader(),
            *self._origins.reports_for_new_leader(),
            *(() if self._paths.can_help else (CanHelp(False),)),
            *report_for_new_leader(self._paths.cut_instances()),
        )

    def _make_quotas(self) -> QuotaEnforcer:
        quotas = QuotaEnforcer(
            LeaderQuotaClient(self._fleet),
            self._gateways,
            self._settings.quotas,
            self._clock,
            self._rng,
        )
        self._fleet.on(QuotaNews, quotas.apply)
        self._fleet.shortage_report = quotas.shortage_report
        return quotas

    def _make_helper(self) -> HelperService:
        return HelperService(
            self._api,
            self._helpers.accepts,
            self._signals,
            self._known.upstream,
            self._known.all_upstreams,
            opens_connection,
            refuses_connections,
            self._clock,
            self._rng,
            self._account.memory,
        )

    def _make_forwarder(self) -> Forwarder:
        bounds, now_ms = self._settings.repeats, self._clock.now_ms()
        repeats = Repeats(
            bounds,
            self._gateways,
            self._fleet.questions.borrow_repeat,
            self._clock,
            self._rng,
            # Before the system's first start nothing was spent.
            now_ms - bounds.window_ms if self._settings.first_start else now_ms,
        )
        return Forwarder(
            self._known,
            Admission(self._quotas),
            repeats,
            self._engine_selector,
            self._make_plain_selector(),
            Sender(
                self._api,
                self._signals,
                self._origins,
                self._clock,
                self._metrics,
                self._account.memory,
            ),
            self._signals,
            self._origins,
            self._quarantine,
            self._clock,
            self._metrics,
            self._rng,
            lambda service: self._api.reaches_any(self._known.upstreams(service)),
        )

    def _make_plain_selector(self) -> PlainUpstreamSelector:
        return PlainUpstreamSelector(
            self._known.upstreams,
            self._signals,
            leader_turn_client(self._fleet, self._clock),
            self._clock,
            self._settings.data_centre,
            self._rng,
            self._room,
            self._fleet.send,
            self._api.has_open_connection,
        )

    def _on_knowledge(self) -> None:
        self._origins.update()
        limits = self._limits()
        self._kept.set(limits.idle_timeout_ms, limits.header_timeout_ms)

    def _gateways(self) -> int:
        return self._known.gateways

    def _is_alone(self) -> bool:
        return self._known.gateways <= 1

    def _limits(self) -> DocumentLimits:
        return self._known.table.document.limits if self._known.table else DocumentLimits()

    def _kept_connections(self, service: str, instance: str) -> int:
        """Return the number of idle connections to keep to an upstream."""
        spec = self._known.table.services.get(service) if self._known.table else None
        limit = spec.max_connections if spec else 0
        return kept_connections(limit, self._known.gateways, self._settings.name, instance)

    def _refresh_gauges(self) -> None:
        metrics = self._metrics
        metrics.gauge("calls_in_progress", self._entry.calls_in_progress())
        metrics.gauge("document_version", self._known.version)
        note_account(metrics, self._account)
        metrics.gauge("connected", self._fleet.connected)
        metrics.gauge("limited_upstreams", len(self._upstream_limits))
        metrics.gauge("upstreams_backing_off", len(self._backoffs))
        metrics.gauge("upstreams_bearing_few_rejections", len(self._rejections))
        metrics.gauge("services_short_of_room", len(self._room))
        metrics.gauge("upstream_connections_idle", len(self._pool))
        metrics.gauge("upstreams_cut_off", len(self._paths))
        metrics.gauge("helpers", len(self._helpers))
        metrics.gauge("streams_with_origin", len(self._origins))
        metrics.total("sends_for_others", self._helper.sent)
        for figure, value in FLEET_CODEC.traffic.counters():
            metrics.total(figure, value)

    async def serve(self, stop: asyncio.Event) -> int:
        """Serve until `stop`, then drain; return the exit code of the process."""
        settings, fleet = self._settings, self._fleet
        watch = SettingsWatch(
            settings, self._clock, lambda new: fleet.use_controllers(new.controllers)
        )
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
        delay = LoopDelay(self._clock, self._metrics.observe)
        tasks = [asyncio.ensure_future(one.run()) for one in (fleet, watch, self._quotas, delay)]
        metrics_runner = serve_metrics(
            self._metrics,
            f"{settings.ip}:{settings.metrics_port}",
            self._refresh_gauges,
            self._account,
        )
        helper_server = self._make_helper_server()
        await helper_server.start()
        await self._entry.start(settings.caller_listen, settings.ready_listen)
        log.info("gateway: started name=%s listen=%s", self._name, settings.caller_listen)
        await stop.wait()
        drained = DrainedGateway(self._entry, self._helper, fleet.send)
        await drain(drained, self._clock, settings.grace_ms)
        await self._entry.stop()
        await helper_server.stop()
        for task in tasks:
            task.cancel()
        await metrics_runner.cleanup()
        await self._links.close()
        await self._direct.close()
        log.info("gateway: stopped name=%s", self._name)
        return 0

    def _make_helper_server(self) -> RpcServer:
        server = RpcServer(
            self._settings.peer_address,
            max_silence_ms=HELPER_SILENCE_MS,
            max_message_bytes=MAX_MESSAGE_BYTES,
        )
        server.add_stream(HELP_METHOD, HELP_CODEC, self._helper.serve)
        server.add_unary(CHECK_METHOD, HELP_CODEC, self._helper.check_port)
        return server


if __name__ == "__main__":
    main()
