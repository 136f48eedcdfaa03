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
from ..forwarding.sender import Sender
from ..limits.known_limits import KnownLimits
from ..observability.json_logs import start_logs
from ..observability.prometheus_metrics import PrometheusMetrics
from ..observability.stdout_logs import StdoutHandler
from ..programs.event_loop import run
from ..quarantine import RequestQuarantine, refuses_connections
from ..quota.quota_enforcer import QuotaEnforcer
from ..routes import DocumentLimits
from ..settings.fleet_settings import FleetSettings
from ..signals import UnreadHeaders
from ..signals.known_backoffs import KnownBackoffs
from ..signals.known_signals import KnownSignals
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
    fleet = FleetClient(name, settings.controllers, known, clock)
    quarantine = RequestQuarantine(fleet.report, refuses_connections, clock)
    fleet.on_suspects = quarantine.update
    pool = ConnectionPool(_kept_connections(known, settings.name), metrics.count, clock)
    api = UpstreamHttp(UnreadHeaders(names.ANSWER_HEADERS, metrics.count), pool, clock)
    rng = random.Random()
    quotas = QuotaEnforcer(
        LeaderQuotaClient(fleet), lambda: known.gateways, settings.quotas, clock, rng
    )
    fleet.on_quotas, fleet.shortage_report = quotas.apply, quotas.shortage_report
    upstream_limits = KnownLimits(fleet.send, lambda: known.gateways, clock, rng)
    backoffs = KnownBackoffs(fleet.send, clock)
    signals = KnownSignals(upstream_limits, backoffs, clock)
    fleet.on_limits, fleet.on_hints = upstream_limits.apply, backoffs.apply_hints
    room = KnownRoom(fleet.send, LeaderlessRoom(lambda: known.gateways, clock, rng), clock)
    fleet.on_room = room.apply
    fleet.signals_to_resend = lambda: (
        *signals.reports_for_new_leader(),
        *room.reports_for_new_leader(),
    )
    forwarder = Forwarder(
        known,
        Admission(quotas),
        Repeats(settings.repeats, lambda: known.gateways, fleet.borrow_repeat, clock, rng),
        EngineUpstreamSelector(fleet, signals, clock, name, settings.data_centre),
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
    )

    def limits() -> DocumentLimits:
        return known.table.document.limits if known.table else DocumentLimits()

    entry = EntryServer(forwarder, lambda: known.table is not None, limits, clock)

    def refresh_gauges() -> None:
        metrics.gauge("calls_in_progress", entry.calls_in_progress())
        metrics.gauge("document_version", known.version)
        metrics.gauge("connected", fleet.connected)
        metrics.gauge("limited_upstreams", len(upstream_limits))
        metrics.gauge("upstreams_backing_off", len(backoffs))
        metrics.gauge("services_short_of_room", len(room))
        metrics.gauge("upstream_connections_idle", len(pool))
        for figure, value in FLEET_CODEC.traffic.counters():
            metrics.total(figure, value)

    watch = SettingsWatch(settings, clock, lambda new: fleet.use_controllers(new.controllers))
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
    tasks = [asyncio.ensure_future(one.run()) for one in (fleet, watch, quotas)]
    metrics_runner = await serve_metrics(
        metrics, f"{settings.ip}:{settings.metrics_port}", refresh_gauges
    )
    await entry.start(settings.caller_listen, settings.ready_listen)
    log.info("gateway: started name=%s listen=%s", name, settings.caller_listen)
    await stop.wait()
    await drain(entry, clock, settings.grace_ms)
    await entry.stop()
    for task in tasks:
        task.cancel()
    await metrics_runner.cleanup()
    await api.close()
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
