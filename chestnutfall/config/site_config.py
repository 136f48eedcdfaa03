"""Merged configuration of one site."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from .content_digest import ContentDigest
from .layered_config import LayeredConfig


class SiteConfig:
    """Merged entries of one site, with their digest.

    Updates are incremental, since merging 3,000 adapters again for each change would cost as much
    as the replication of the change through the log.

    Attributes
    ----------
    site : str
        Name of the data centre.
    entries : dict
        Merged entries by section and name, not validated here.
    """

    def __init__(self, site: str, layers: LayeredConfig) -> None:
        self.site = site
        self.entries: dict[str, dict[str, Any]] = {}
        self._digest = ContentDigest()
        self.update(layers, layers.names(site))

    def update(self, layers: LayeredConfig, touched: Iterable[tuple[str, str]]) -> None:
        """Merge the touched entries again from `layers`, and update the digest."""
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
        """Return the entries as they would be after an update from `layers`.

        This object is not changed, so that a candidate can be validated before it is accepted.
        """
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
        """Digest of all entries, as 64 hexadecimal characters."""
        return self._digest.hex()
