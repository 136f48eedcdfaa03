"""A gateway's part in choosing upstreams, without a network."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ...clock import Clock
from ...coordination.holdings_diff import holdings_change
from ...coordination.messages import UpstreamsChange
from ...forwarding.engine_places import EnginePlaces
from ...forwarding.fleet_client import FleetClient
from ...forwarding.fleet_knowledge import FleetKnowledge
from ...forwarding.place import Places
from ...forwarding.plain_places import PlainPlaces
from ...forwarding.turn_line import turn_line
from ...limits.known_limits import KnownLimits
from ...placement import ReadyAdapter
from ...platform.document_json import DocumentJson
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_signals import KnownSignals
from .placing_leader import PlacingLeader
from .signalling_upstream import ENGINES, PLAIN, SignallingUpstream


class PlacingGateway:
    """What one gateway knows, and its line to the leader.

    Attributes
    ----------
    cut, frozen : bool
        Whether it reaches no leader, and whether it stands still.
    """

    def __init__(
        self,
        name: str,
        upstreams: Iterable[SignallingUpstream],
        gateways: Callable[[], int],
        clock: Clock,
    ) -> None:
        self.name = name
        self.cut = self.frozen = False
        self.known = FleetKnowledge(DocumentJson(), clock)
        self.see(upstreams)
        self.fleet = FleetClient(name, (), self.known, clock)
        rng = random.Random(name)
        limits = KnownLimits(self.fleet.tell, gateways, clock, rng)
        backoffs = KnownBackoffs(self.fleet.tell, clock)
        self.signals = KnownSignals(limits, backoffs, clock)
        self.fleet.on_limits, self.fleet.on_hints = limits.apply, backoffs.apply_hints
        self.fleet.heard_again = self.signals.reports_for_new_leader
        self.places: dict[str, Places] = {
            ENGINES: EnginePlaces(self.fleet, self.signals, clock, name, "dc"),
            PLAIN: PlainPlaces(
                self.known.upstreams, self.signals, turn_line(self.fleet), clock, "dc", rng
            ),
        }

    def see(self, upstreams: Iterable[SignallingUpstream]) -> None:
        """Take over which upstreams serve, and what engines hold."""
        present = list(upstreams)
        records = tuple(one.record for one in present)
        gone = self.known._upstreams.instances() - {one.instance for one in records}
        self.known.take(UpstreamsChange(records, tuple(gone)))
        held = (
            ReadyAdapter(one.record.instance, name, version)
            for one in present
            if one.record.service == ENGINES
            for name, version in one.holds.items()
        )
        self.known.take(holdings_change(True, held))

    def join(self, leader: PlacingLeader) -> None:
        """Follow a leader."""
        leader.join(self.name)
        for heard in self.signals.reports_for_new_leader():
            leader.take(self.name, heard)
        self.fleet._join("leader")

    def lose(self) -> None:
        """Have no leader."""
        self.fleet._lose("leader")

    def exchange(self, leader: PlacingLeader) -> None:
        """Send and take what is on its way."""
        if not self.fleet.connected or self.frozen:
            return
        # Asked for each of hundreds of gateways in each moment; nearly always there is nothing.
        if self.fleet._out._queue:  # type: ignore[attr-defined]
            self._send_all(leader)
        if leader.has_news(self.name):
            for msg in leader.out_of(self.name):
                self.fleet._take(msg, "leader")

    def _send_all(self, leader: PlacingLeader) -> None:
        while not self.fleet._out.empty():
            leader.take(self.name, self.fleet._out.get_nowait())
