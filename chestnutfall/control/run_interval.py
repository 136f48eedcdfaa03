"""The time interval in which a request ran on an upstream that broke off its answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunInterval:
    """The interval that covers all runs of one request on one upstream.

    Attributes
    ----------
    began_ms : int
        Start of the earliest run, by the leader's clock.
    broke_ms : int
        Latest time at which an answer broke off, by the leader's clock.
    """

    began_ms: int
    broke_ms: int

    def with_run(self, began_ms: int, broke_ms: int) -> RunInterval:
        """Return the interval extended by one more run of the request."""
        return RunInterval(min(self.began_ms, began_ms), max(self.broke_ms, broke_ms))
