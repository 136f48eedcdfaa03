"""An upstream that says things of itself, for offices without a network."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...control.upstream_record import UpstreamRecord
from ...placement import AdapterName
from ...routes import EngineSpec, ModelSpec
from ...signals import SignalHeaders, UpstreamSignals, read_signals

ADAPTERS = 6
ENGINES, PLAIN = "engines", "plain"
SPEC = EngineSpec(16, 1_000_000, (ModelSpec("base", 50),), 1_000, ADAPTERS, 5)
_NAMES = SignalHeaders("limit", "leaving", "load")


def all_adapters() -> dict[AdapterName, int]:
    """What every engine holds at first, with its version."""
    return {AdapterName("base", f"a{at}"): 1 for at in range(ADAPTERS)}


@dataclass(frozen=True, slots=True)
class Asked:
    """A refusal that asked a gateway for time."""

    at_ms: int
    gateway: str
    for_ms: int


@dataclass(slots=True)
class NamedUpstream:
    """What came to one upstream: when, and from which gateway.

    Attributes
    ----------
    limit : str or None
        What its answers say of the requests a second that it takes; None for nothing.
    backoff : str or None
        While it is set, every request is turned away with this Retry-After.
    turns_away_with : int
        Status of these refusals.
    proves : bool
        Whether they say that nothing ran.
    leaving : bool
        Whether its answers say that it leaves.
    breaks_off : bool
        Whether its streams end after their first event.
    resumed : int
        Runs that it went on with.
    holds : dict of AdapterName to int
        Adapters of an engine.
    running : int
        Requests that it runs.
    arrivals : list of (int, str)
        When requests came, and from which gateway.
    asked : list of Asked
        Its refusals that asked for time.
    told : dict of str to int
        When each gateway first had an answer that says that it leaves.
    """

    record: UpstreamRecord
    limit: str | None = None
    backoff: str | None = None
    turns_away_with: int = 503
    proves: bool = True
    leaving: bool = False
    breaks_off: bool = False
    resumed: int = 0
    holds: dict[AdapterName, int] = field(default_factory=all_adapters)
    running: int = 0
    arrivals: list[tuple[int, str]] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    told: dict[str, int] = field(default_factory=dict)

    def signals(self, status: int) -> UpstreamSignals:
        """What an answer with this status says."""
        said = {"limit": self.limit, "Retry-After": self.backoff}
        headers = {name: text for name, text in said.items() if text is not None}
        if self.leaving:
            headers["leaving"] = "1"
        return read_signals(status, headers, _NAMES)
