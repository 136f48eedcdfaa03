"""A gateway's selection of upstreams, without a network."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ...clock import Clock
from ...concurrency.known_room import KnownRoom
from ...concurrency.leaderless_room import LeaderlessRoom
from ...concurrency.messages import RoomInForce
from ...control.upstream_record import UpstreamRecord
from ...coordination.holdings_diff import holdings_change
from ...coordination.messages import UpstreamsChange
from ...forwarding.engine_upstream_selector import EngineUpstreamSelector
from ...forwarding.fleet_client import FleetClient
from ...forwarding.fleet_knowledge import FleetKnowledge
from ...forwarding.leader_turn_client import leader_turn_client
from ...forwarding.place import UpstreamSelector
from ...forwarding.plain_upstream_selector import PlainUpstreamSelector
from ...forwarding.stream_origins import StreamOrigins
from ...limits.known_limits import KnownLimits
from ...limits.messages import LimitsInForce
from ...placement import ReadyAdapter
from ...platform.document_json import DocumentJson
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_rejections import KnownRejections
from ...signals.known_signals import KnownSignals
from ...signals.messages import BackoffHints, RejectionsInForce
from .placing_leader import PlacingLeader
from .signalling_upstream import ENGINES, PLAIN, SignallingUpstream, mixed_services


class PlacingGateway:
    """One gateway's state, selectors and message queue to the leader.

    Attributes
    ----------
    cut, frozen : bool
        Whether the gateway can't reach a leader, and whether its process is stopped.
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
        self._seen: dict[tuple[str, str], UpstreamRecord] = {}
        self.known = FleetKnowledge(DocumentJson(), clock)
        self.fleet = FleetClient(name, (), self.known, clock)
        self.set_upstreams(upstreams)
        rng = random.Random(name)
        limits = KnownLimits(self.fleet.send, gateways, clock, rng)
        backoffs = KnownBackoffs(self.fleet.send, clock)
        rejections = KnownRejections(self.fleet.send, clock)
        self.fleet.on(RejectionsInForce, rejections.apply)
        self.signals = KnownSignals(limits, backoffs, clock, rejections)
        self.fleet.on(LimitsInForce, limits.apply)
        self.fleet.on(BackoffHints, backoffs.apply_hints)
        self.room = KnownRoom(self.fleet.send, LeaderlessRoom(gateways, clock, rng), clock)
        self.fleet.on(RoomInForce, self.room.apply)
        self.origins = StreamOrigins(self.fleet, clock)
        self.fleet.on_knowledge = self.origins.update
        self.fleet.signals_to_resend = lambda: (
            *self.signals.reports_for_new_leader(),
            *self.room.reports_for_new_leader(),
            *self.origins.reports_for_new_leader(),
        )
        self.selectors: dict[str, UpstreamSelector] = {
            ENGINES: EngineUpstreamSelector(self.fleet, self.signals, clock, name, "dc"),
            PLAIN: PlainUpstreamSelector(
                self.known.upstreams,
                self.signals,
                leader_turn_client(self.fleet, clock),
                clock,
                "dc",
                rng,
                self.room,
                self.fleet.send,
            ),
        }

    def set_upstreams(self, upstreams: Iterable[SignallingUpstream]) -> None:
        """Set the serving upstreams and the adapters that engines hold."""
        present = list(upstreams)
        records = tuple(one.record for one in present)
        gone = self.known._upstreams.instances() - {one.instance for one in records}
        for record in records:
            self._seen.setdefault((record.instance, record.build), record)
        mixed = mixed_services(self._seen.values())
        self.known.apply(UpstreamsChange(records, tuple(gone), mixed=mixed))
        held = (
            ReadyAdapter(one.record.instance, name, version)
            for one in present
            if one.record.service == ENGINES
            for name, version in one.holds.items()
        )
        self.known.apply(holdings_change(True, held))
        self.fleet.on_knowledge()

    def join(self, leader: PlacingLeader) -> None:
        """Connect to a leader."""
        leader.add_gateway(self.name, self.known.version, self.fleet.suspect_parts())
        for report in self.fleet.signals_to_resend():
            leader.handle(self.name, report)
        for crash in self.fleet._reports.to_resend():
            leader.handle(self.name, crash)
        self.fleet._on_connected("leader")

    def lose(self) -> None:
        """Lose the connection to the leader."""
        self.fleet.on_lost("leader")

    def exchange(self, leader: PlacingLeader) -> None:
        """Deliver the waiting messages in both directions."""
        if not self.fleet.connected or self.frozen:
            return
        # Fast path: this runs for hundreds of gateways at each step, and there is rarely a message.
        if self.fleet._out._queue:  # type: ignore[attr-defined]
            self._send_all(leader)
        if leader.has_messages(self.name):
            for msg in leader.take_messages(self.name):
                self.fleet.on_message(msg, "leader")

    def _send_all(self, leader: PlacingLeader) -> None:
        while not self.fleet._out.empty():
            leader.handle(self.name, self.fleet._out.get_nowait())
