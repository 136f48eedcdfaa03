"""Following changes of the platform's settings file."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from ..settings.fleet_settings import FleetSettings
from .node_file import read_node_file

log = logging.getLogger(__name__)
LOOK_MS = 1_000
"""The file may change without a signal; a read a second costs nothing that shows."""


class SettingsWatch:
    """Tells of changed settings, whether or not a signal announced them."""

    def __init__(
        self, settings: FleetSettings, clock: Clock, on_change: Callable[[FleetSettings], None]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._on_change = on_change

    async def run(self) -> None:
        """Look at the file again and again, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOOK_MS)
            self.look()

    def look(self) -> None:
        """Read the file now."""
        try:
            settings = read_node_file()
        except (KeyError, OSError, ValueError) as exc:
            # The file may be half written at this moment; what holds stays in force.
            log.warning("settings: not readable, kept as they were: %r", exc)
            return
        if settings != self._settings:
            log.info("settings: reloaded controllers=%s", settings.controllers)
            self._settings = settings
            self._on_change(settings)
