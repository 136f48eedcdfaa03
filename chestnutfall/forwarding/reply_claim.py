"""Which of a call's concurrent sends answers its client."""

from __future__ import annotations

from collections.abc import Callable


class ReplyTaken(Exception):
    """Another send of the same call answers the client; this one has nothing to say any more."""


class ReplyClaim:
    """Held by the one send that may write to the client.

    It is taken in the same step in which a part of an answer is found to be the next one, so that
    no second send can find the same. Otherwise a client would get an event twice, or pieces of two
    runs.

    Parameters
    ----------
    on_taken : callable
        Called when a send takes the claim.
    """

    def __init__(self, on_taken: Callable[[], None] = lambda: None) -> None:
        self._on_taken = on_taken
        self._holder: object | None = None

    def open(self) -> None:
        """Let any send take the claim, as the one that held it is silent."""
        self._holder = None

    def is_held_by(self, send: object) -> bool:
        """Whether a send may write to the client."""
        return self._holder is send

    @property
    def is_open(self) -> bool:
        """Whether no send holds the claim."""
        return self._holder is None

    def check(self, send: object) -> None:
        """Make sure that no other send holds the claim.

        Raises
        ------
        ReplyTaken
            When another one does.
        """
        if self._holder is not None and self._holder is not send:
            raise ReplyTaken

    def take(self, send: object) -> None:
        """Take the claim for a send.

        Raises
        ------
        ReplyTaken
            When another send holds it.
        """
        self.check(send)
        if self._holder is None:
            self._holder = send
            self._on_taken()
