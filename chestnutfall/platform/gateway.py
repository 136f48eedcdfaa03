"""Program `chestnutfall.platform.gateway`: serves clients' requests on the platform."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import uuid
from collections.abc import Callable

from ..clock import SystemClock
from ..concurrency.known_room import KnownRoom
from ..concurrency.leaderless_room import LeaderlessRoom
from ..concurrency.messages import RoomInForce
from ..connections import ConnectionPool
from ..connections.connection_share import kept_connections
from ..control.crash_messages import SuspectRequests
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
from ..forwarding.sender import Sender
from ..limits.known_limits import KnownLimits
from ..limits.messages import LimitsInForce
from ..observability.json_logs import start_logs
from ..observability.prometheus_metrics import PrometheusMetrics
from ..observability.stdout_logs import StdoutHandler
from ..paths import HelpedUpstreamApi, HelperService, KnownHelpers, PathTable, PortWitness
from ..paths.drained_gateway import DrainedGateway
from ..paths.helper_links import HelperLinks
from ..paths.leader_messages import CanHelp, HelperGateways
from ..paths.messages import CHECK_METHOD, HELP_CODEC, HELP_METHOD
from ..programs.event_loop import run
from ..quarantine import RequestQuarantine, refuses_connections
from ..quarantine.port_check import opens_connection
from ..quota.messages import QuotaNews
from ..quota.quota_enforcer import QuotaEnforcer
from ..routes import DocumentLimits
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
    run(lambda stop: _serve(settings, stop))


async def _serve(settings: FleetSettings, stop: asyncio.Event) -> int:
    clock = SystemClock()
    metrics = PrometheusMetrics()
    start_logs("INFO", "gateway", settings.name, StdoutHandler(clock, metrics))
    name = f"{settings.name}#{uuid.uuid4().hex[:6]}"
    known = FleetKnowledge(DocumentJson(), clock)
    fleet = FleetClient(
        name, settings.controllers, known, clock, settings.peer_address, settings.data_centre
    )
    pool = ConnectionPool(_kept_connections(known, settings.name), metrics.count, clock)
    direct = UpstreamHttp(UnreadHeaders(names.ANSWER_HEADERS, metrics.count), pool, clock)
    rng = random.Random()
    paths, helpers, links = PathTable(clock), KnownHelpers(clock, rng), HelperLinks(direct, clock)
    fleet.on(HelperGateways, helpers.apply)
    paths.on_change = lambda can_help: fleet.send(CanHelp(can_help))

    def is_alone() -> bool:
        return known.gateways <= 1

    api = HelpedUpstreamApi(direct, links, helpers, paths, opens_connection, is_alone, clock)
    witness = PortWitness(refuses_connections, links, helpers, is_alone)
    quarantine = RequestQuarantine(fleet.report, witness.has_ended, clock)
    fleet.on(SuspectRequests, quarantine.update)
    quotas = QuotaEnforcer(
        LeaderQuotaClient(fleet), lambda: known.gateways, settings.quotas, clock, rng
    )
    fleet.on(QuotaNews, quotas.apply)
    fleet.shortage_report = quotas.shortage_report
    upstream_limits = KnownLimits(fleet.send, lambda: known.gateways, clock, rng)
    backoffs = KnownBackoffs(fleet.send, clock)
    rejections = KnownRejections(fleet.send, clock)
    fleet.on(RejectionsInForce, rejections.apply)
    signals = KnownSignals(upstream_limits, backoffs, clock, rejections)
    engine_selector = EngineUpstreamSelector(fleet, signals, clock, name, settings.data_centre)
    fleet.on(LimitsInForce, upstream_limits.apply)
    fleet.on(BackoffHints, backoffs.apply_hints)
    room = KnownRoom(fleet.send, LeaderlessRoom(lambda: known.gateways, clock, rng), clock)
    fleet.on(RoomInForce, room.apply)
    fleet.signals_to_resend = lambda: (
        *signals.reports_for_new_leader(),
        *room.reports_for_new_leader(),
        *engine_selector.running.reports_for_new_leader(),
        *(() if paths.can_help else (CanHelp(False),)),
    )
    helper = HelperService(
        api,
        helpers.accepts,
        signals,
        known.upstream,
        known.all_upstreams,
        opens_connection,
        refuses_connections,
        clock,
        rng,
    )
    forwarder = Forwarder(
        known,
        Admission(quotas),
        Repeats(settings.repeats, lambda: known.gateways, fleet.borrow_repeat, clock, rng),
        engine_selector,
        PlainUpstreamSelector(
            known.upstreams,
            signals,
            leader_turn_client(fleet, clock),
            clock,
            settings.data_centre,
            rng,
            room,
            fleet.send,
            api.has_open_connection,
        ),
        Sender(api, signals, clock, metrics),
        signals,
        quarantine,
        clock,
        metrics,
        rng,
        lambda service: api.reaches_any(known.upstreams(service)),
    )

    def limits() -> DocumentLimits:
        return known.table.document.limits if known.table else DocumentLimits()

    entry = EntryServer(forwarder, lambda: known.table is not None, limits, clock)
    helper_server = RpcServer(settings.peer_address)
    helper_server.add_stream(HELP_METHOD, HELP_CODEC, helper.serve)
    helper_server.add_unary(CHECK_METHOD, HELP_CODEC, helper.check_port)

    def refresh_gauges() -> None:
        metrics.gauge("calls_in_progress", entry.calls_in_progress())
        metrics.gauge("document_version", known.version)
        metrics.gauge("connected", fleet.connected)
        metrics.gauge("limited_upstreams", len(upstream_limits))
        metrics.gauge("upstreams_backing_off", len(backoffs))
        metrics.gauge("upstreams_bearing_few_rejections", len(rejections))
        metrics.gauge("services_short_of_room", len(room))
        metrics.gauge("upstream_connections_idle", len(pool))
        metrics.gauge("upstreams_cut_off", len(paths))
        metrics.gauge("helpers", len(helpers))
        metrics.total("sends_for_others", helper.sent)
        for figure, value in FLEET_CODEC.traffic.counters():
            metrics.total(figure, value)

    watch = SettingsWatch(settings, clock, lambda new: fleet.use_controllers(new.controllers))
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
    tasks = [asyncio.ensure_future(one.run()) for one in (fleet, watch, quotas)]
    metrics_runner = await serve_metrics(
        metrics, f"{settings.ip}:{settings.metrics_port}", refresh_gauges
    )
    await helper_server.start()
    await entry.start(settings.caller_listen, settings.ready_listen)
    log.info("gateway: started name=%s listen=%s", name, settings.caller_listen)
    await stop.wait()
    await drain(DrainedGateway(entry, helper, fleet.send), clock, settings.grace_ms)
    await entry.stop()
    await helper_server.stop()
    for task in tasks:
        task.cancel()
    await metrics_runner.cleanup()
    await links.close()
    await direct.close()
    log.info("gateway: stopped name=%s", name)
    return 0


def _kept_connections(known: FleetKnowledge, gateway: str) -> Callable[[str, str], int]:
    """Return the number of idle connections to keep to an upstream, by service and instance."""

    def kept(service: str, instance: str) -> int:
        spec = known.table.services.get(service) if known.table else None
        limit = spec.max_connections if spec else 0
        return kept_connections(limit, known.gateways, gateway, instance)

    return kept


if __name__ == "__main__":
    main()
