"""The closed union of messages about requests that may end upstreams."""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_SUSPECTS = 256
"""Requests kept for one upstream; more than it runs at once, including its queue."""
MAX_REPORTS = 512
"""Reports that a gateway keeps; more than the answers it has in progress when several upstreams
end, of each of which it may report twice."""

MAX_SUSPECT_PARTS = 512
"""Suspect prompt parts that gateways are told of, and tell a new leader of; 15 KB."""


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """Report of a gateway: an answer of an upstream broke off.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's caller, path and body.
    instance : str
        Incarnation of the upstream that ran the request.
    address : str
        Address at which that incarnation listened.
    refuses : bool
        Whether its port refused connections directly after, which shows that its process ended.
    began_ago_ms, broke_ago_ms : int
        Age of the start of the run and of the break, when the report is sent.
    rejecting : bool
        Whether the upstream bears few rejections, and rejected a request of this gateway within a
        second before the break.
    parts : tuple of str
        Names of the shared parts of the request's prompt; see `part_keys`.
    answered_ago_ms : int or None
        Age of this gateway's latest complete answer to the same request; None if it knows of none.
    answered_parts : tuple of str
        Those of `parts` that this gateway had a complete answer to in the last ten seconds.
    is_checked : bool
        Whether it is known that the process ended, or did not. If False, another report follows.
    """

    fingerprint: str
    instance: str
    address: str
    refuses: bool
    began_ago_ms: int
    broke_ago_ms: int
    rejecting: bool = False
    parts: tuple[str, ...] = ()
    answered_ago_ms: int | None = None
    answered_parts: tuple[str, ...] = ()
    is_checked: bool = True

    def delayed_by(self, by_ms: int) -> BrokenRun:
        """Return the report with ages for sending it `by_ms` later."""
        answered_ago_ms = self.answered_ago_ms
        return replace(
            self,
            began_ago_ms=self.began_ago_ms + by_ms,
            broke_ago_ms=self.broke_ago_ms + by_ms,
            answered_ago_ms=None if answered_ago_ms is None else answered_ago_ms + by_ms,
        )


@dataclass(frozen=True, slots=True)
class AnsweredRun:
    """Report of a gateway: an upstream answered a watched request in full."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class AnsweredParts:
    """Report of a gateway: an engine answered a request in full whose prompt has these parts.

    Only parts that a broken answer of this gateway had are reported, once after each.

    Attributes
    ----------
    answered_ago_ms : int
        Age of the answer, when the report is sent.
    """

    parts: tuple[str, ...]
    answered_ago_ms: int = 0

    def delayed_by(self, by_ms: int) -> AnsweredParts:
        """Return the report with the age for sending it `by_ms` later."""
        return replace(self, answered_ago_ms=self.answered_ago_ms + by_ms)


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that gateways must not send, and the time after which callers may retry it."""

    fingerprint: str
    retry_ms: int


@dataclass(frozen=True, slots=True)
class QuarantinedParts:
    """Prompt parts that no request may have together, and when callers may retry one that has."""

    parts: tuple[str, ...]
    retry_ms: int


@dataclass(frozen=True, slots=True)
class SuspectRequests:
    """Requests that may end upstreams, as sent to gateways.

    Attributes
    ----------
    changes : int
        Change counter of the ledger; the larger one is newer.
    watched : tuple of str
        Fingerprints for which gateways report each complete answer.
    quarantined : tuple of QuarantinedRequest
        Requests that gateways must not send.
    parts : tuple of QuarantinedParts
        Prompt parts for which gateways must not send requests.
    suspect_parts : tuple of str
        Prompt parts that may end engines and were not answered since. Requests that have one are
        placed by a leader only. Not counted in `changes`.
    """

    changes: int
    watched: tuple[str, ...]
    quarantined: tuple[QuarantinedRequest, ...]
    parts: tuple[QuarantinedParts, ...] = ()
    suspect_parts: tuple[str, ...] = ()


NO_SUSPECTS = SuspectRequests(-1, (), ())
"""State of a gateway that has not received any suspects yet."""
CrashReport = BrokenRun | AnsweredRun | AnsweredParts
