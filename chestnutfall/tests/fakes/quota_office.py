"""Simulated gateways and leaders that enforce quotas, without a network."""

from __future__ import annotations

import random
from collections import deque

from ...clock import ManualClock
from ...quota.messages import AnswerQuota, QuotaNews, UsedQuota
from ...quota.quota_client import NoQuotaLeader, QuotaClient
from ...quota.quota_enforcer import OverQuota, QuotaEnforcer
from ...quota.quota_ledger import QuotaLedger
from ...routes import Organisation
from ...settings.quota_bounds import QuotaBounds


class _SimulatedClient(QuotaClient):
    """A gateway's connection to the leader; messages are lost while it is cut.

    Attributes
    ----------
    cut : bool
        Whether the gateway is cut off from every controller.
    knows_of_cut : bool
        Whether the gateway has noticed that.
    """

    def __init__(self, office: QuotaOffice) -> None:
        self._office = office
        self.cut = False
        self.knows_of_cut = False

    @property
    def connected(self) -> bool:
        return self._office.ledger is not None and not self.knows_of_cut

    @property
    def isolated(self) -> bool:
        return self.cut

    def report_use(self, use: UsedQuota) -> None:
        self._office.messages += 1
        if self._office.ledger is not None and not self.cut:
            for one in use.uses:
                self._office.ledger.charge(one.organisation, one.units)

    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        self._office.messages += 1
        self._office.asked += 1
        if self._office.ledger is None or self.cut:
            self.knows_of_cut = self.cut
            raise NoQuotaLeader("cut off")
        return self._office.ledger.ask(0, organisation, units)

    async def until_connected(self, within_ms: float) -> bool:
        return False


class QuotaOffice:
    """Gateways that share the quota of one organisation, and one leader after another.

    Attributes
    ----------
    passed : list of (int, float)
        Clock time and units of each admitted request.
    refused : int
        Number of refused requests.
    asked, messages : int
        Number of questions to the leader, and of all messages to it.
    """

    def __init__(self, gateways: int, organisation: Organisation, bounds: QuotaBounds) -> None:
        self.clock = ManualClock()
        self.organisation = organisation
        self.bounds = bounds
        self.ledger: QuotaLedger | None = None
        self.passed: list[tuple[int, float]] = []
        self.refused = self.asked = self.messages = 0
        self._updates: deque[tuple[int, int, QuotaNews]] = deque()
        rng = random.Random(1)
        self.clients = [_SimulatedClient(self) for _ in range(gateways)]
        self.enforcers = [
            QuotaEnforcer(client, lambda: gateways, bounds, self.clock, rng)
            for client in self.clients
        ]
        self.begin_leader()

    def begin_leader(self) -> None:
        """Start a new leader, which knows nothing of what its predecessor counted."""
        self.ledger = QuotaLedger(self.bounds, self.clock)
        self.ledger.apply_quotas([self.organisation])
        for at, client in enumerate(self.clients):
            if not client.cut:
                self.ledger.note_short(self.enforcers[at].shortage_report().organisations)
                client.knows_of_cut = False
                self.enforcers[at].apply(self.ledger.full_update())

    def lose_leader(self) -> None:
        """Leave the gateways without a leader."""
        self.ledger = None

    def limit(self, organisation: Organisation) -> None:
        """Put another quota of the organisation in force."""
        self.organisation = organisation
        if self.ledger is not None:
            self.ledger.apply_quotas([organisation])

    def cut(self, gateway: int, noticed: bool = True) -> None:
        """Cut a gateway off from every controller; `noticed` is whether it knows that at once."""
        self.clients[gateway].cut = True
        self.clients[gateway].knows_of_cut = noticed

    def heal(self, gateway: int) -> None:
        """Connect a gateway again that was cut off."""
        self.clients[gateway].cut = self.clients[gateway].knows_of_cut = False
        if self.ledger is not None:
            self.enforcers[gateway].apply(self.ledger.full_update())

    async def request(self, gateway: int, tokens: int) -> bool:
        """Send one request through a gateway; return whether it was admitted."""
        until_ms = self.clock.now_ms()
        try:
            charge = await self.enforcers[gateway].admit(self.organisation, tokens, until_ms)
        except OverQuota:
            self.refused += 1
            return False
        self.passed.append((self.clock.now_ms(), charge.units))
        return True

    def wait(self, ms: int, step_ms: int = 10) -> None:
        """Let time pass in steps, in which gateways send reports and the leader sends news."""
        for _ in range(max(ms // step_ms, 1)):
            self.clock._now_ms += min(step_ms, ms)
            self._send_update()
            if self.clock.now_ms() % 200 < step_ms:
                for enforcer in self.enforcers:
                    enforcer.report_use()

    def _send_update(self) -> None:
        update = self.ledger.next_update() if self.ledger is not None else None
        if update is None:
            return
        for client, enforcer in zip(self.clients, self.enforcers, strict=True):
            if not client.cut:
                enforcer.apply(update)

    def most_in_window(self, from_ms: int = 0) -> float:
        """Return the most units admitted in any window that starts at `from_ms` or later."""
        most = held = 0.0
        window: deque[tuple[int, float]] = deque()
        for at_ms, units in self.passed:
            if at_ms < from_ms:
                continue
            window.append((at_ms, units))
            held += units
            while window[0][0] <= at_ms - self.bounds.window_ms:
                held -= window.popleft()[1]
            most = max(most, held)
        return most

    def bound(self) -> float:
        """Return the units that may be admitted in any window."""
        quota = self.organisation.quota
        in_window = quota.per_s * self.bounds.window_ms / 1000 + quota.burst
        return in_window * (1 + self.bounds.excess_ratio) + self.bounds.slack
