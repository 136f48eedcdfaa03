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
    answered_ms : int or None
        Latest time at which one of the reporting gateways got a complete answer to the request.
    """

    began_ms: int
    broke_ms: int
    answered_ms: int | None = None

    def with_run(self, run: RunInterval) -> RunInterval:
        """Return the interval extended by one more run of the request."""
        answered_ms = [one.answered_ms for one in (self, run) if one.answered_ms is not None]
        return RunInterval(
            min(self.began_ms, run.began_ms),
            max(self.broke_ms, run.broke_ms),
            max(answered_ms, default=None),
        )
