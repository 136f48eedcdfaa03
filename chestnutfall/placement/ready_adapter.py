"""An adapter that requests may run on."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class ReadyAdapter:
    """An adapter that is ready on an engine, and its version."""

    instance: str
    adapter: AdapterName
    version: int
