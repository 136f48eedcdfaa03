"""A simulated upstream with signals in its answers, for deployments without a network."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ...control.upstream_record import UpstreamRecord
from ...control.upstream_roster import UpstreamRoster
from ...placement import AdapterName
from ...routes import EngineSpec, ModelSpec
from ...signals import SignalHeaders, UpstreamSignals, read_signals

ADAPTERS = 6
ENGINES, PLAIN = "engines", "plain"
SPEC = EngineSpec(16, 1_000_000, (ModelSpec("base", 50),), 1_000, ADAPTERS, 5)
_NAMES = SignalHeaders("limit", "leaving", "load", "rejections")


def all_adapters() -> dict[AdapterName, int]:
    """The adapters that every engine holds at first, with their versions."""
    return {AdapterName("base", f"a{at}"): 1 for at in range(ADAPTERS)}


def mixed_services(records: Iterable[UpstreamRecord]) -> tuple[str, ...]:
    """Return the services whose upstreams have several builds."""
    records = (replace(one, instance=f"{one.instance}/{one.build}", name="") for one in records)
    roster = UpstreamRoster()
    for record in records:
        roster.add(record)
    return roster.mixed_services()


@dataclass(frozen=True, slots=True)
class BackoffRequest:
    """A rejection that asked a gateway for a backoff of `for_ms`."""

    at_ms: int
    gateway: str
    for_ms: int


@dataclass(slots=True)
class SignallingUpstream:
    """The signals that one upstream sends, and the requests that it received.

    Attributes
    ----------
    limit : str or None
        Value of its limit header; None for no header.
    backoff : str or None
        If set, every request is rejected with this Retry-After.
    rejection_status : int
        Status of these rejections.
    proves_not_run : bool
        Whether they prove that the request did not run.
    leaving : bool
        Whether its answers say that it is leaving.
    breaks_off : bool
        Whether its streams break off after their first event.
    resumed : int
        Number of runs that it resumed.
    holds : dict of AdapterName to int
        Adapters of an engine.
    running : int
        Number of requests that it runs now.
    arrivals : list of (int, str)
        Time and gateway of each request that it received.
    backoff_requests : list of BackoffRequest
        Its rejections that asked for a backoff.
    leaving_answered_ms : dict of str to int
        Clock time of the first answer to each gateway that says that it is leaving.
    """

    record: UpstreamRecord
    limit: str | None = None
    backoff: str | None = None
    rejection_status: int = 503
    proves_not_run: bool = True
    leaving: bool = False
    breaks_off: bool = False
    resumed: int = 0
    holds: dict[AdapterName, int] = field(default_factory=all_adapters)
    running: int = 0
    arrivals: list[tuple[int, str]] = field(default_factory=list)
    backoff_requests: list[BackoffRequest] = field(default_factory=list)
    leaving_answered_ms: dict[str, int] = field(default_factory=dict)

    def signals(self, status: int) -> UpstreamSignals:
        """The signals of an answer with this status."""
        values = {"limit": self.limit, "Retry-After": self.backoff}
        headers = {name: text for name, text in values.items() if text is not None}
        if self.leaving:
            headers["leaving"] = "1"
        return read_signals(status, headers, _NAMES)
