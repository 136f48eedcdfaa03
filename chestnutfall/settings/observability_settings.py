"""Where logs, metrics and traces go."""

from __future__ import annotations

from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ObservabilitySettings:
    """Outputs for the people on call.

    Attributes
    ----------
    log_level : str
    statsd : Address or None
        UDP address of the statsd daemon.
    trace_file : str or None
        File that gets one JSON line for each span.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd: Address | None = None
    trace_file: str | None = None
