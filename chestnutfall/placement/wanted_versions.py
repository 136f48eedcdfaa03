"""Which version of each adapter requests must get."""

from __future__ import annotations

from .adapter_name import AdapterName
from .holding import Holding


class WantedVersions:
    """The newest version named of each adapter."""

    def __init__(self) -> None:
        self._versions: dict[AdapterName, int] = {}

    def name(self, adapter: AdapterName, version: int) -> None:
        """Requests get this version of the adapter or a newer one from now on."""
        self._versions[adapter] = max(version, self._versions.get(adapter, 0))

    def of(self, adapter: AdapterName) -> int:
        """The newest version named; 0 when none was, and any will do."""
        return self._versions.get(adapter, 0)

    def is_outdated(self, adapter: AdapterName, held: Holding) -> bool:
        """Whether a newer version than the one that an engine holds was named."""
        return held.version < self.of(adapter)
