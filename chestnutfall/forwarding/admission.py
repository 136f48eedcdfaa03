"""Whether a call may be served: whose it is, and whether that organisation's quota has room."""

from __future__ import annotations

from dataclasses import dataclass

from ..quota.quota_enforcer import Charge, OverQuota, QuotaEnforcer
from ..routes import Organisation, Route, RouteTable
from .call import Call

UNKNOWN_KEY = "unknown_key"
OVER_QUOTA = "over_quota"
QUOTA_UNKNOWN = "quota_unknown"


class NotAdmitted(Exception):
    """The call is refused before it takes a place or a repeat; nothing ran.

    Attributes
    ----------
    status : int
        HTTP status of the final answer.
    reason : str
        Machine-readable cause.
    organisation : str
        Whose call it is; empty where that isn't known.
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
    """A call that may be served.

    Attributes
    ----------
    organisation : Organisation or None
        Whose call it is; None where nobody needs a key.
    charge : Charge or None
        What it took of the quota.
    """

    organisation: Organisation | None
    charge: Charge | None

    @property
    def name(self) -> str:
        """Name of the organisation; empty for none."""
        return self.organisation.name if self.organisation is not None else ""


class Admission:
    """Asks whose key it is, and then the quota of its holder.

    Both hold at the moment at which the call comes. A key that is taken away later ends nothing
    that waits or runs: its caller had the right to ask, and a run that is broken off may have
    done half of its work.
    """

    def __init__(self, quotas: QuotaEnforcer) -> None:
        self._quotas = quotas

    def holder(self, call: Call, table: RouteTable, route: Route) -> Organisation | None:
        """The organisation whose key the call bears; None if it needs none.

        Raises
        ------
        NotAdmitted
            When the route needs a key and nobody holds this one.
        """
        organisation = table.holder(call.key_digest) if call.key_digest is not None else None
        if organisation is None and table.needs_key(route):
            raise NotAdmitted(401, UNKNOWN_KEY)
        return organisation

    async def charge(
        self, call: Call, organisation: Organisation | None, until_ms: int
    ) -> Admitted:
        """Take what the call costs out of the quota.

        Raises
        ------
        NotAdmitted
            When nothing is left, or nobody can say in time.
        """
        if organisation is None:
            return Admitted(None, None)
        try:
            charge = await self._quotas.admit(organisation, call.tokens, until_ms)
        except OverQuota as exc:
            status, reason = (429, OVER_QUOTA) if exc.is_used_up else (503, QUOTA_UNKNOWN)
            raise NotAdmitted(status, reason, organisation.name, exc.retry_after_ms) from exc
        return Admitted(organisation, charge)

    def give_back(self, admitted: Admitted) -> None:
        """Give back what a call took that never ran."""
        if admitted.organisation is not None and admitted.charge is not None:
            self._quotas.give_back(admitted.charge, admitted.organisation.quota)
