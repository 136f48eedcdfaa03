"""Reloading of the platform's settings file."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from ..settings.fleet_settings import FleetSettings
from .node_file import parse, read_content

log = logging.getLogger(__name__)
POLL_INTERVAL_MS = 1_000
"""The platform may change the file without sending a signal."""


class SettingsWatch:
    """Calls `on_change` when the settings file has changed.

    The file is polled, since not every change is followed by SIGHUP.

    Parameters
    ----------
    settings : FleetSettings
        Settings that the program started with.
    on_change : callable
        Called with the new settings.
    """

    def __init__(
        self, settings: FleetSettings, clock: Clock, on_change: Callable[[FleetSettings], None]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._on_change = on_change
        self._content = ""

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            self.reload()

    def reload(self) -> None:
        """Read the file now; if it can't be read, keep the settings in force."""
        try:
            content = read_content()
            if content == self._content:
                return
            settings = parse(content)
        except (KeyError, OSError, ValueError) as exc:
            # The platform may be writing the file at this moment; the next poll reads it again.
            log.warning("settings: file not readable, previous settings stay in force: %r", exc)
            return
        self._content = content
        if settings != self._settings:
            log.info("settings: reloaded controllers=%s", settings.controllers)
            self._settings = settings
            self._on_change(settings)
