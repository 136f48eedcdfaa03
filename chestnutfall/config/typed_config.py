"""Typed configuration of one site, for the data path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pydantic import TypeAdapter

from ..requests import key_digest
from .adapter import Adapter
from .caller import Caller
from .limits import Limits
from .operator import Operator
from .policy import Policy
from .service import Service
from .upstream_entry import UpstreamEntry

DEFAULT_ENTRY = "default"
ENTRY_TYPES: dict[str, TypeAdapter[Any]] = {
    "adapters": TypeAdapter(Adapter),
    "callers": TypeAdapter(Caller),
    "limits": TypeAdapter(Limits),
    "operators": TypeAdapter(Operator),
    "policy": TypeAdapter(Policy),
    "services": TypeAdapter(Service),
    "upstreams": TypeAdapter(UpstreamEntry),
}


class TypedConfig:
    """Typed entries of one site by section and name, and callers by key.

    Sections without a type, such as `sites`, are left out.
    """

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, Any]] = {section: {} for section in ENTRY_TYPES}
        self._callers_by_key: dict[str, str] = {}

    def update(
        self, entries: dict[str, dict[str, Any]], touched: Iterable[tuple[str, str]]
    ) -> None:
        """Convert the touched ones of the merged `entries`, which must be valid already."""
        for section, name in touched:
            if section not in ENTRY_TYPES:
                continue
            before = self._entries[section].pop(name, None)
            if isinstance(before, Caller):
                self._callers_by_key.pop(before.key_sha256, None)
            raw = entries.get(section, {}).get(name)
            if raw is None:
                continue
            entry = ENTRY_TYPES[section].validate_python(raw)
            self._entries[section][name] = entry
            if isinstance(entry, Caller):
                self._callers_by_key[entry.key_sha256] = name

    @property
    def adapters(self) -> dict[str, Adapter]:
        """Adapters by name."""
        return self._entries["adapters"]

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._entries["services"]

    @property
    def callers(self) -> dict[str, Caller]:
        """Callers by name."""
        return self._entries["callers"]

    @property
    def operators(self) -> dict[str, Operator]:
        """Operators by name."""
        return self._entries["operators"]

    @property
    def limits(self) -> Limits:
        """The limits in force; defaults when none are configured."""
        return self._entries["limits"].get(DEFAULT_ENTRY) or Limits()

    @property
    def policy(self) -> Policy:
        """The placement policy in force; defaults when none is configured."""
        return self._entries["policy"].get(DEFAULT_ENTRY) or Policy()

    def is_drained(self, upstream: str) -> bool:
        """Return whether operators drain `upstream`, so that it gets no new work."""
        entry = self._entries["upstreams"].get(upstream)
        return entry is not None and entry.drain

    def caller_by_key(self, key: str) -> str | None:
        """Return the name of the caller with this bearer key; None for an unknown key."""
        return self._callers_by_key.get(key_digest(key))
