"""Quota usage of API callers, summed by the leader over all gateways."""

from __future__ import annotations

from collections.abc import Iterator

from ..clock import Clock
from ..config.caller import Caller
from ..config.typed_config import ENTRY_TYPES
from ..quota.messages import AnswerQuota, AskQuota, QuotaLevel, QuotaNews, UsedQuota, WasShort
from ..quota.quota_ledger import QuotaLedger
from ..routes import Organisation
from ..settings.quota_bounds import CALLER_QUOTA_BOUNDS
from .control_state import ControlState

NO_REVISION = -1
"""Differs from every configuration revision, so that the first use loads the limits."""


class CallerQuotas:
    """A `QuotaLedger` whose limits follow the configuration in force.

    Each caller counts as one organisation. The limits are reloaded on first use after the
    configuration revision changed.
    """

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self._state = state
        self._ledger = QuotaLedger(CALLER_QUOTA_BOUNDS, clock)
        self._revision = NO_REVISION

    def record_use(self, msg: UsedQuota | WasShort) -> QuotaNews:
        """Record usage that a gateway reports, and return the callers that are short of quota."""
        ledger = self._current_ledger()
        match msg:
            case UsedQuota(uses):
                for use in uses:
                    ledger.charge(use.organisation, use.units)
            case WasShort(organisations):
                ledger.note_short(organisations)
        # Updates which callers are short; `whole_news` returns the state of the last update.
        ledger.next_update()
        return ledger.full_update()

    def ask(self, msg: AskQuota) -> AnswerQuota:
        """Decide whether a request is within its caller's quota."""
        return self._current_ledger().ask(msg.number, msg.organisation, msg.units)

    def levels(self) -> tuple[QuotaLevel, ...]:
        """Return the remaining quota of each caller."""
        return self._current_ledger().levels()

    def _current_ledger(self) -> QuotaLedger:
        if self._revision != self._state.revision:
            self._revision = self._state.revision
            self._ledger.apply_quotas(self._organisations())
        return self._ledger

    def _organisations(self) -> Iterator[Organisation]:
        """Yield each caller once, with the highest rate that any data centre allows it."""
        callers: dict[str, Caller] = {}
        for site in self._state.sites.values():
            for name, raw in site.entries.get("callers", {}).items():
                caller: Caller = ENTRY_TYPES["callers"].validate_python(raw)
                known = callers.get(name)
                if known is None or known.rate_per_s < caller.rate_per_s:
                    callers[name] = caller
        return (caller.as_organisation(name) for name, caller in callers.items())
