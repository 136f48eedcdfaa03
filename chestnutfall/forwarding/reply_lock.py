"""Which of a call's concurrent sends answers its client."""

from __future__ import annotations

import weakref
from collections.abc import Callable


class ReplyTaken(Exception):
    """Another send of the same call answers the client; this one has nothing to say any more."""


class ReplyLock:
    """Held by the one send that may write to the client.

    It is acquired in the same step in which a part of an answer is found to be the next one, so
    that no second send can find the same. Otherwise a client would get an event twice, or pieces of
    two runs.

    Parameters
    ----------
    on_acquired : callable
        Called when a send acquires the lock.
    """

    def __init__(self, on_acquired: Callable[[], None] = lambda: None) -> None:
        self._on_acquired = on_acquired
        # Sends hold the lock as well. A cycle of references would keep the call in memory, with its
        # body, until the next full garbage collection.
        self._holder: weakref.ref[object] | None = None

    def release(self) -> None:
        """Let any send acquire the lock, as the one that held it is silent."""
        self._holder = None

    def is_held_by(self, send: object) -> bool:
        """Whether a send may write to the client."""
        return self._holder is not None and self._holder() is send

    @property
    def is_free(self) -> bool:
        """Whether no send holds the lock."""
        return self._holder is None

    def check(self, send: object) -> None:
        """Make sure that no other send holds the lock.

        Raises
        ------
        ReplyTaken
            When another one does.
        """
        if self._holder is not None and self._holder() is not send:
            raise ReplyTaken

    def acquire(self, send: object) -> None:
        """Acquire the lock for a send.

        Raises
        ------
        ReplyTaken
            When another send holds it.
        """
        self.check(send)
        if self._holder is None:
            self._holder = weakref.ref(send)
            self._on_acquired()
