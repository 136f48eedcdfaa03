"""State that the leader sends to all gateways, and the rates at which it is sent."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..clock import Clock
from ..control.control_state import ControlState
from ..control.crash_messages import MAX_SUSPECT_PARTS, NO_SUSPECTS, SuspectRequests
from ..control.upstream_record import UpstreamRecord
from ..placement import ReadyAdapter
from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .holdings_diff import holdings_change, whole_holdings
from .messages import Controllers, GatewayCount, PutInForce
from .upstream_views import UpstreamViews

DOCUMENT_INTERVAL_MS = 200
"""A tenth of the time within which a change has to be in force."""
HOLDINGS_INTERVAL_MS = 1_000
"""Gateways need holdings only while no leader is reachable; a shorter interval costs bandwidth."""
MORE_GATEWAYS_INTERVAL_MS = 100
"""Short compared with the windows in which repeats are counted."""
SUSPECT_PARTS_INTERVAL_MS = 100
"""Gateways need suspect prompt parts only without a leader; parts come and go as they are
answered."""
FEWER_GATEWAYS_INTERVAL_MS = 1_000
"""Fewer gateways only allow each of the others more repeats, so this may be sent late."""


class GatewayBroadcaster:
    """Sends the document, upstreams, holdings, quotas and gateway count to gateways.

    It keeps what was sent last, so that only changes are sent.
    """

    def __init__(
        self,
        sessions: GatewaySessions,
        state: ControlState,
        placer: Placer,
        quotas: QuotaLedger,
        clock: Clock,
    ) -> None:
        self._sessions = sessions
        self._state = state
        self._placer = placer
        self._quotas = quotas
        self._clock = clock
        self._views = UpstreamViews()
        self._controllers = Controllers((), reads_loads=True)
        self._last_ready: frozenset[ReadyAdapter] = frozenset()
        self._sent: frozenset[ReadyAdapter] = frozenset()
        self._sent_whole = whole_holdings(())
        self._gateways = 0
        self._suspects = NO_SUSPECTS
        self._document_version = state.document.version
        now_ms = clock.now_ms()
        self._document_due_ms = self._holdings_due_ms = self._suspect_parts_due_ms = now_ms
        self._more_due_ms = self._fewer_due_ms = now_ms

    def send_initial_state(self, session: GatewaySession, document_version: int) -> None:
        """Send the whole state to a newly connected gateway that holds `document_version`."""
        # Short messages go first: a gateway that receives nothing assumes that the leader has
        # failed.
        session.send(self._controllers)
        session.send(self._quotas.full_update())
        for part in self._views.whole():
            session.send(part)
        session.send(GatewayCount(max(len(self._sessions), self._gateways)))
        if self._state.document.version > document_version:
            session.send(self._in_force())
        if self._sent:
            session.send_bulk(self._sent_whole)
        if self._state.crashes.changes or self._suspects.suspect_parts:
            session.send(self._suspects_with(self._suspects.suspect_parts))

    def send_upstreams(self, serving: Iterable[UpstreamRecord]) -> None:
        """Send the changes of the serving upstreams."""
        for change in self._views.change_to(serving, self._state.roster.mixed_services()):
            self._sessions.broadcast(change)

    def send_controllers(self, addresses: tuple[str, ...]) -> None:
        """Send the addresses of the controllers if they changed."""
        if addresses != self._controllers.addresses:
            self._controllers = Controllers(addresses, reads_loads=True)
            self._sessions.broadcast(self._controllers)

    def send_due(self) -> None:
        """Send all changes whose interval has passed."""
        self._send_document()
        self._send_gateways()
        self._send_suspects()
        self.send_quotas()
        self._send_holdings()

    def send_quotas(self) -> None:
        """Send which organisations became short of quota, or have enough again."""
        update = self._quotas.next_update()
        if update is not None:
            self._sessions.broadcast(update)

    def _send_document(self) -> None:
        # Operators may store many versions per second. If each were sent, they would queue up on
        # the links of many gateways and the last one would be in force late. Only the newest one
        # matters.
        now_ms = self._clock.now_ms()
        version = self._state.document.version
        if version == self._document_version or now_ms < self._document_due_ms:
            return
        self._document_version = version
        self._document_due_ms = now_ms + DOCUMENT_INTERVAL_MS
        self._sessions.broadcast(self._in_force())

    def _in_force(self) -> PutInForce:
        return PutInForce(self._state.document.version, self._state.document.content)

    def _send_gateways(self) -> None:
        # Each gateway that connects or disconnects changes the count, and sending it costs as many
        # messages as there are gateways. If it were sent at once, a few dozen gateways that time
        # out before the leader's first message, and so reconnect all the time after an outage,
        # would keep that message from being sent in time.
        now_ms = self._clock.now_ms()
        gateways = len(self._sessions)
        due_ms = self._more_due_ms if gateways > self._gateways else self._fewer_due_ms
        if gateways == self._gateways or now_ms < due_ms:
            return
        self._gateways = gateways
        self._more_due_ms = now_ms + MORE_GATEWAYS_INTERVAL_MS
        self._fewer_due_ms = now_ms + FEWER_GATEWAYS_INTERVAL_MS
        self._sessions.broadcast(GatewayCount(gateways))

    def _send_suspects(self) -> None:
        # This is sent without delay: a request that ends upstreams takes one with each send until
        # every gateway knows of it.
        parts = self._due_suspect_parts()
        is_known = self._state.crashes.changes == self._suspects.changes
        if is_known and parts == self._suspects.suspect_parts:
            return
        suspects = self._suspects_with(parts)
        sent = replace(self._suspects, changes=suspects.changes)
        self._suspects = suspects
        if suspects != sent:
            self._sessions.broadcast(suspects)

    def _due_suspect_parts(self) -> tuple[str, ...]:
        now_ms = self._clock.now_ms()
        if now_ms < self._suspect_parts_due_ms or self._placer.suspects.is_empty:
            return self._suspects.suspect_parts if len(self._placer.suspects) else ()
        self._suspect_parts_due_ms = now_ms + SUSPECT_PARTS_INTERVAL_MS
        return self._placer.suspects.lasting(now_ms)[-MAX_SUSPECT_PARTS:]

    def _suspects_with(self, parts: tuple[str, ...]) -> SuspectRequests:
        return replace(self._state.crashes.suspects(), suspect_parts=parts)

    def _send_holdings(self) -> None:
        # Gateways use the holdings to work without a leader for a short time. Where adapters
        # outnumber slots, most holdings come and go within two seconds. Sending all of them was
        # most of the traffic between data centres: 950 KB per second for 195 gateways and 31
        # engines. Only holdings that are also in the previous sample are sent, which is a quarter
        # of that; the others seldom have another caller in the second without a leader.
        now_ms = self._clock.now_ms()
        if now_ms < self._holdings_due_ms:
            return
        self._holdings_due_ms = now_ms + HOLDINGS_INTERVAL_MS
        ready = frozenset(self._placer.table.ready())
        lasting, self._last_ready = ready & self._last_ready, ready
        if lasting == self._sent:
            return
        # Built once for all gateways that connect: two hundred reconnect together after an outage.
        self._sent_whole = whole_holdings(lasting)
        # The first message of a new leader replaces the holdings that the previous one sent. Until
        # then those are the best known: if gateways dropped them at once, they would have none if
        # this leader fails.
        if not self._sent:
            self._sessions.broadcast_bulk(self._sent_whole)
        else:
            change = holdings_change(False, lasting - self._sent, self._sent - lasting)
            self._sessions.broadcast(change)
        self._sent = lasting
