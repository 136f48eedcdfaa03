"""Outputs of logs, metrics and traces."""

from __future__ import annotations

from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ObservabilitySettings:
    """Outputs of logs, metrics and traces.

    Attributes
    ----------
    log_level : str
        Least severe level that is logged.
    statsd : Address or None
        UDP address of the statsd daemon; None sends no metrics.
    trace_file : str or None
        File that gets one JSON line for each span; None for no traces.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd: Address | None = None
    trace_file: str | None = None
