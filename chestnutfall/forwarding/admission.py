"""Admission of calls: identifies the organisation by its key and charges its quota."""

from __future__ import annotations

from dataclasses import dataclass

from ..quota.quota_enforcer import Charge, OverQuota, QuotaEnforcer
from ..routes import Organisation, Route, RouteTable
from .call import Call

UNKNOWN_KEY = "unknown_key"
OVER_QUOTA = "over_quota"
QUOTA_UNKNOWN = "quota_unknown"


class NotAdmitted(Exception):
    """The call is refused before an upstream is selected; nothing ran.

    Attributes
    ----------
    status : int
        HTTP status of the final answer.
    reason : str
        Machine-readable cause.
    organisation : str
        Name of the organisation that sent the call; empty if unknown.
    retry_after_ms : int or None
        Time after which the client may try again; None if a retry can't help.
    """

    def __init__(
        self, status: int, reason: str, organisation: str = "", retry_after_ms: int | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.organisation = organisation
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted call.

    Attributes
    ----------
    organisation : Organisation or None
        Organisation that sent the call; None if the route needs no key.
    charge : Charge or None
        Quota units taken for the call; None without an organisation.
    """

    organisation: Organisation | None
    charge: Charge | None

    @property
    def name(self) -> str:
        """Name of the organisation; empty for none."""
        return self.organisation.name if self.organisation is not None else ""


class Admission:
    """Checks the key of a call, then the quota of the organisation that holds the key.

    Both checks apply when the call arrives. Revoking a key later ends no call that is waiting or
    running: the call was authorised when it came, and a run that is broken off may have done half
    of its work.
    """

    def __init__(self, quotas: QuotaEnforcer) -> None:
        self._quotas = quotas

    def holder(self, call: Call, table: RouteTable, route: Route) -> Organisation | None:
        """Return the organisation that holds the call's key; None if the route needs no key.

        Raises
        ------
        NotAdmitted
            When the route needs a key and the call has none or an unknown one.
        """
        organisation = (
            table.organisation_by_key(call.key_digest) if call.key_digest is not None else None
        )
        if organisation is None and table.needs_key(route):
            raise NotAdmitted(401, UNKNOWN_KEY)
        return organisation

    async def charge(
        self, call: Call, organisation: Organisation | None, until_ms: int
    ) -> Admitted:
        """Charge the call to its organisation's quota.

        Parameters
        ----------
        until_ms : int
            Clock time until which the call may wait for the leader's decision.

        Raises
        ------
        NotAdmitted
            When the quota is used up, or the leader gives no decision in time.
        """
        if organisation is None:
            return Admitted(None, None)
        try:
            charge = await self._quotas.admit(organisation, call.tokens, until_ms)
        except OverQuota as exc:
            status, reason = (429, OVER_QUOTA) if exc.is_used_up else (503, QUOTA_UNKNOWN)
            raise NotAdmitted(status, reason, organisation.name, exc.retry_after_ms) from exc
        return Admitted(organisation, charge)

    def refund(self, admitted: Admitted) -> None:
        """Give the units charged for a call that never ran back to its organisation's quota."""
        if admitted.organisation is not None and admitted.charge is not None:
            self._quotas.give_back(admitted.charge, admitted.organisation.quota)
