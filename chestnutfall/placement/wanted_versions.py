"""Adapter versions that requests must get."""

from __future__ import annotations

from .adapter_name import AdapterName
from .holding import Holding


class WantedVersions:
    """The newest version named for each adapter."""

    def __init__(self) -> None:
        self._versions: dict[AdapterName, int] = {}

    def name(self, adapter: AdapterName, version: int) -> None:
        """Require this version of the adapter, or a newer one, from now on."""
        self._versions[adapter] = max(version, self._versions.get(adapter, 0))

    def of(self, adapter: AdapterName) -> int:
        """Return the newest version named; 0 when none was, so that any version is valid."""
        return self._versions.get(adapter, 0)

    def is_outdated(self, adapter: AdapterName, held: Holding) -> bool:
        """Whether a newer version was named than the one that an engine holds."""
        return held.version < self.of(adapter)
