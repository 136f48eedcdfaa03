"""What the leader tells every gateway, and how often."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..control.control_state import ControlState
from ..control.crash_messages import NO_SUSPECTS
from ..control.upstream_record import UpstreamRecord
from ..placement import ReadyAdapter
from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .holdings_diff import holdings_change, whole_holdings
from .messages import Controllers, GatewayCount, PutInForce
from .upstream_views import UpstreamViews

DOCUMENT_MS = 200
"""A tenth of the time in which a change has to be in force."""
HOLDINGS_MS = 1_000
"""Gateways need it only while no leader can be reached; more often costs their links more."""
MORE_GATEWAYS_MS = 100
"""Small beside the windows in which repeats are counted."""
FEWER_GATEWAYS_MS = 1_000
"""Fewer gateways only make the others bolder with repeats, so that news can wait."""


class GatewayNews:
    """Document, upstreams, holdings and number of gateways, as told last."""

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
        self._controllers = Controllers(())
        self._seen: frozenset[ReadyAdapter] = frozenset()
        self._told: frozenset[ReadyAdapter] = frozenset()
        self._all_told = whole_holdings(())
        self._gateways = 0
        self._suspects = NO_SUSPECTS
        self._document_version = state.document.version
        now_ms = clock.now_ms()
        self._document_due_ms = self._holdings_due_ms = now_ms
        self._more_due_ms = self._fewer_due_ms = now_ms

    def greet(self, session: GatewaySession, document_version: int) -> None:
        """Tell a gateway that has just come everything; it holds `document_version`."""
        # The short messages first: a gateway takes a leader that says nothing for dead.
        session.send(self._controllers)
        session.send(self._quotas.whole_news())
        for part in self._views.whole():
            session.send(part)
        session.send(GatewayCount(max(len(self._sessions), self._gateways)))
        if self._state.document.version > document_version:
            session.send(self._in_force())
        if self._told:
            session.send_bulk(self._all_told)
        if self._state.crashes.changes:
            session.send(self._state.crashes.suspects())

    def tell_upstreams(self, serving: Iterable[UpstreamRecord]) -> None:
        """Tell which upstreams serve now, as far as that changed."""
        for change in self._views.change_to(serving):
            self._sessions.tell_all(change)

    def tell_controllers(self, addresses: tuple[str, ...]) -> None:
        """Tell which controllers there are, if that changed."""
        if addresses != self._controllers.addresses:
            self._controllers = Controllers(addresses)
            self._sessions.tell_all(self._controllers)

    def tell_what_is_due(self) -> None:
        """Tell what changed and was not told lately."""
        self._tell_document()
        self._tell_gateways()
        self._tell_suspects()
        self.tell_quotas()
        self._tell_holdings()

    def tell_quotas(self) -> None:
        """Tell which organisations became short, or have plenty again."""
        news = self._quotas.news()
        if news is not None:
            self._sessions.tell_all(news)

    def _tell_document(self) -> None:
        # Operators may send many versions a second. Sent one by one they queue up on the links
        # of many gateways, and the last is in force late; only the newest one matters.
        now_ms = self._clock.now_ms()
        version = self._state.document.version
        if version == self._document_version or now_ms < self._document_due_ms:
            return
        self._document_version = version
        self._document_due_ms = now_ms + DOCUMENT_MS
        self._sessions.tell_all(self._in_force())

    def _in_force(self) -> PutInForce:
        return PutInForce(self._state.document.version, self._state.document.content)

    def _tell_gateways(self) -> None:
        # Told at once to all of them, each one that comes or goes costs as many messages as there
        # are gateways. Symptom: after an outage some dozen gateways that wait too shortly for the
        # leader's first word come and go all the time, which is what keeps that word from coming.
        now_ms = self._clock.now_ms()
        gateways = len(self._sessions)
        due_ms = self._more_due_ms if gateways > self._gateways else self._fewer_due_ms
        if gateways == self._gateways or now_ms < due_ms:
            return
        self._gateways = gateways
        self._more_due_ms = now_ms + MORE_GATEWAYS_MS
        self._fewer_due_ms = now_ms + FEWER_GATEWAYS_MS
        self._sessions.tell_all(GatewayCount(gateways))

    def _tell_suspects(self) -> None:
        # A request that ends what runs it takes an upstream with each call that is on its way
        # before every gateway knows of it; so this waits for nothing else.
        crashes = self._state.crashes
        if crashes.changes == self._suspects.changes:
            return
        suspects = crashes.suspects()
        told = (self._suspects.watched, self._suspects.quarantined)
        self._suspects = suspects
        if (suspects.watched, suspects.quarantined) != told:
            self._sessions.tell_all(suspects)

    def _tell_holdings(self) -> None:
        # Gateways do without a leader for a while by what they know of the engines. Where adapters
        # outnumber places, most of them come and go within two seconds, and telling each gateway
        # of each was most of what went between data centres: 950 KB a second for 195 gateways and
        # 31 engines. Told of what was there at the look before too, it is a quarter of that, and
        # what is left out has seldom another caller in the second without a leader.
        now_ms = self._clock.now_ms()
        if now_ms < self._holdings_due_ms:
            return
        self._holdings_due_ms = now_ms + HOLDINGS_MS
        ready = frozenset(self._placer.ready())
        lasting, self._seen = ready & self._seen, ready
        if lasting == self._told:
            return
        # Made once for all gateways that come: two hundred come back together after an outage.
        self._all_told = whole_holdings(lasting)
        # The first word of a new leader replaces what the one before told. Until then that is the
        # best there is: gateways that forgot it at once would have nothing if this leader fails.
        if not self._told:
            self._sessions.tell_all_bulk(self._all_told)
        else:
            change = holdings_change(False, lasting - self._told, self._told - lasting)
            self._sessions.tell_all(change)
        self._told = lasting
