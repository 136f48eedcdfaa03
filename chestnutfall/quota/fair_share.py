"""Whose turn it is when organisations ask for more than there is."""

from __future__ import annotations

MOST_ORGANISATIONS = 16_384
"""Organisations that are remembered; the ones asked for longest ago have no queue to remember."""


class FairShare:
    """Start tags of start-time fair queueing (Goyal, Vin and Cheng, 1996), in tokens.

    A request's tag is where its organisation would be if all that wait were served in equal parts.
    Served in the order of tags, an organisation that sends many times its usual waits behind its
    own requests, and takes from the others only what they leave. In order of arrival it would take
    most of what there is, since most of those who wait are its own. An organisation that was
    silent begins where the others are: it has saved nothing up.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._finish: dict[str, float] = {}

    def tag(self, organisation: str, tokens: int) -> float:
        """The tag of a request that comes now."""
        start = max(self._now, self._finish.pop(organisation, 0.0))
        self._finish[organisation] = start + max(tokens, 1)
        if len(self._finish) > MOST_ORGANISATIONS:
            self._finish.pop(next(iter(self._finish)))
        return start

    def served(self, tag: float) -> None:
        """Note that a request with this tag was given a place."""
        self._now = max(self._now, tag)
