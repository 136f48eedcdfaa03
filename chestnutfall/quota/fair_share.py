"""Fair order of the requests of organisations that together exceed the capacity."""

from __future__ import annotations

MAX_ORGANISATIONS = 16_384
"""Organisations whose finish tag is kept; those silent for longest have no queue left."""


class FairShare:
    """Start tags of start-time fair queueing (Goyal, Vin and Cheng, 1996), in tokens.

    A request's start tag is the service that its organisation would have received by then if all
    waiting organisations were served equally. If requests are served in the order of tags, an
    organisation that sends many times its usual load waits behind its own requests, and uses only
    what the others leave. In order of arrival it would use most of the capacity, since most
    waiting requests are its own. An organisation that sent nothing for a while starts at the
    others' position, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def tag(self, organisation: str, tokens: int) -> float:
        """Return the start tag of a request that arrives now.

        Parameters
        ----------
        tokens : int
            Cost of the request; at least 1 is counted.
        """
        start = max(self._virtual_time, self._finish_tags.pop(organisation, 0.0))
        self._finish_tags[organisation] = start + max(tokens, 1)
        if len(self._finish_tags) > MAX_ORGANISATIONS:
            self._finish_tags.pop(next(iter(self._finish_tags)))
        return start

    def served(self, tag: float) -> None:
        """Advance the virtual time to the tag of a request that is being served."""
        self._virtual_time = max(self._virtual_time, tag)

    def cancel(self, organisation: str, tokens: int) -> None:
        """Take back the cost of a tagged request that will not be served."""
        if organisation in self._finish_tags:
            self._finish_tags[organisation] -= max(tokens, 1)
