"""A host whose processor is small or shared with others."""

from __future__ import annotations

import signal
import threading

from .daemon import Daemon

PERIOD_S = 0.04
"""As long as a scheduler lets a host wait that has used up its part."""


class ProcessorShare:
    """Lets a daemon run only a part of the time, from `begin` to `end`.

    A thread of its own stops and continues the process, since the event loop of a test is busy.

    Parameters
    ----------
    share : float
        Part of the time in which the process runs.
    """

    def __init__(self, daemon: Daemon, share: float) -> None:
        self._daemon = daemon
        self._share = share
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._alternate, daemon=True)

    def begin(self) -> None:
        self._thread.start()

    def end(self) -> None:
        """Let the daemon run all the time again."""
        self._ended.set()
        self._thread.join()

    def _alternate(self) -> None:
        while not self._ended.is_set():
            self._daemon.signal(signal.SIGSTOP)
            self._ended.wait(PERIOD_S * (1 - self._share))
            self._daemon.signal(signal.SIGCONT)
            self._ended.wait(PERIOD_S * self._share)
