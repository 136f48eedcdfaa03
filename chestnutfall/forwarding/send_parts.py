"""What the sends of all calls of a gateway share."""

from __future__ import annotations

from dataclasses import dataclass

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..quarantine import RequestQuarantine
from .alarms import Alarms
from .repeats import Repeats
from .result_handler import ResultHandler
from .sender import Sender
from .stream_origins import StreamOrigins
from .way_back import WayBack


@dataclass(frozen=True, slots=True)
class SendParts:
    """Collaborators of the sends of a call."""

    sender: Sender
    repeats: Repeats
    origins: StreamOrigins
    quarantine: RequestQuarantine
    results: ResultHandler
    way_back: WayBack
    alarms: Alarms
    clock: Clock
    metrics: PrometheusMetrics
