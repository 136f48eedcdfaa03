"""Program `chestnutfall.platform.controller`: one replica of the control state, on the platform."""

from __future__ import annotations

import asyncio
import logging
import signal

from ..accounts import open_account
from ..clock import SystemClock
from ..coordination.controller_runner import ControllerRunner
from ..observability.account_gauges import note_account
from ..observability.json_logs import start_logs
from ..observability.prometheus_metrics import PrometheusMetrics
from ..observability.stdout_logs import StdoutHandler
from ..programs.event_loop import run
from ..settings.fleet_settings import FleetSettings
from .control_server import ControlServer
from .document_json import DocumentJson
from .engine_http import EngineHttp
from .metrics_server import serve_metrics
from .node_file import read_node_file
from .settings_watch import SettingsWatch

log = logging.getLogger(__name__)


def main() -> None:
    """Run one controller until SIGTERM; SIGHUP reloads the settings file."""
    settings = read_node_file()
    run(lambda stop: _serve(settings, stop))


async def _serve(settings: FleetSettings, stop: asyncio.Event) -> int:
    clock = SystemClock()
    metrics = PrometheusMetrics()
    start_logs("INFO", "controller", settings.name, StdoutHandler(clock, metrics))
    codec = DocumentJson()
    engines = EngineHttp(settings.name)
    account = open_account(settings.limits, clock, metrics.count)
    controller = ControllerRunner(settings, codec, engines, clock, metrics, account.memory)
    server = ControlServer(controller.relay, codec, clock, account)
    watch = SettingsWatch(settings, clock, controller.use_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
    tasks = [asyncio.ensure_future(controller.run(stop)), asyncio.ensure_future(watch.run())]

    def refresh_gauges() -> None:
        controller.refresh_gauges()
        note_account(metrics, account)

    metrics_runner = serve_metrics(
        metrics, f"{settings.ip}:{settings.metrics_port}", refresh_gauges, account
    )
    await server.start(settings.control_listen)
    log.info("controller: started listen=%s", settings.control_listen)
    await stop.wait()
    await server.stop()
    await tasks[0]
    tasks[1].cancel()
    await metrics_runner.cleanup()
    await engines.close()
    log.info("controller: stopped")
    return 0


if __name__ == "__main__":
    main()
