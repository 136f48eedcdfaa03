"""The leader's count of what callers of the OpenAI dialect use, over all gateways."""

from __future__ import annotations

from collections.abc import Iterator

from ..clock import Clock
from ..config.caller import Caller
from ..config.typed_config import ENTRY_TYPES
from ..quota.messages import AnswerQuota, AskQuota, QuotaLevel, QuotaNews, UsedQuota, WasShort
from ..quota.quota_ledger import QuotaLedger
from ..routes import Organisation
from ..settings.quota_bounds import OFFICE
from .control_state import ControlState

NO_REVISION = -1


class CallerQuotas:
    """A `QuotaLedger` whose limits follow the configuration in force."""

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self._state = state
        self._ledger = QuotaLedger(OFFICE, clock)
        self._revision = NO_REVISION

    def take(self, msg: UsedQuota | WasShort) -> QuotaNews:
        """Count what a gateway tells, and say who is short now."""
        ledger = self._in_force()
        match msg:
            case UsedQuota(uses):
                for use in uses:
                    ledger.charge(use.organisation, use.units)
            case WasShort(organisations):
                ledger.note_short(organisations)
        ledger.news()
        return ledger.whole_news()

    def ask(self, msg: AskQuota) -> AnswerQuota:
        """Say whether a request may pass."""
        return self._in_force().ask(msg.number, msg.organisation, msg.units)

    def levels(self) -> tuple[QuotaLevel, ...]:
        """What is left of each caller's rate."""
        return self._in_force().levels()

    def _in_force(self) -> QuotaLedger:
        if self._revision != self._state.revision:
            self._revision = self._state.revision
            self._ledger.use(self._organisations())
        return self._ledger

    def _organisations(self) -> Iterator[Organisation]:
        """Each caller once, with the highest rate that any data centre allows it."""
        callers: dict[str, Caller] = {}
        for site in self._state.sites.values():
            for name, raw in site.entries.get("callers", {}).items():
                caller: Caller = ENTRY_TYPES["callers"].validate_python(raw)
                known = callers.get(name)
                if known is None or known.rate_per_s < caller.rate_per_s:
                    callers[name] = caller
        return (caller.as_organisation(name) for name, caller in callers.items())
