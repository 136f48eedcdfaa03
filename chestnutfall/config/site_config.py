"""The configuration in force at one site."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from .content_digest import ContentDigest
from .layered_config import LayeredConfig


class SiteConfig:
    """Merged entries of one site with their digest.

    Kept up to date entry by entry: merging 3,000 adapters anew for each change would cost as
    much as the change's whole way through the log.
    """

    def __init__(self, site: str, layers: LayeredConfig) -> None:
        self.site = site
        self.entries: dict[str, dict[str, Any]] = {}
        self._digest = ContentDigest()
        self.update(layers, layers.names(site))

    def update(self, layers: LayeredConfig, touched: Iterable[tuple[str, str]]) -> None:
        """Take over the touched entries from `layers`."""
        for section, name in touched:
            entries = self.entries.setdefault(section, {})
            before = entries.pop(name, None)
            if before is not None:
                self._digest.remove(section, name, before)
            after = layers.merged_entry(self.site, section, name)
            if after is not None:
                entries[name] = after
                self._digest.add(section, name, after)

    def entries_with(
        self, layers: LayeredConfig, touched: Iterable[tuple[str, str]]
    ) -> dict[str, dict[str, Any]]:
        """What the entries would be under `layers`; this site is left as it is."""
        found = dict(self.entries)
        for section, name in touched:
            if found.get(section) is self.entries.get(section):
                found[section] = dict(self.entries.get(section, {}))
            found[section].pop(name, None)
            after = layers.merged_entry(self.site, section, name)
            if after is not None:
                found[section][name] = after
        return found

    @property
    def digest(self) -> str:
        """Digest of all entries."""
        return self._digest.hex()
