"""The closed union of messages on requests that may end upstreams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """An answer broke off at a gateway.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's caller, path and body.
    instance : str
        Incarnation of the upstream that ran it.
    address : str
        Where that one listened.
    refuses : bool
        Whether its port was closed just after, so that its process has ended.
    """

    fingerprint: str
    instance: str
    address: str
    refuses: bool


@dataclass(frozen=True, slots=True)
class AnsweredRun:
    """An upstream answered a watched request in full, and outlived it."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class SuspectRequests:
    """What gateways must know of requests that may end upstreams.

    Attributes
    ----------
    changes : int
        Counts the changes; tells a newer word from an older one.
    watched : tuple of str
        Fingerprints of which gateways tell each whole answer.
    quarantined : tuple of str
        Fingerprints that no gateway sends.
    """

    changes: int
    watched: tuple[str, ...]
    quarantined: tuple[str, ...]


NO_SUSPECTS = SuspectRequests(-1, (), ())
CrashReport = BrokenRun | AnsweredRun
