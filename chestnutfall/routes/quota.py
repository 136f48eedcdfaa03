"""Rate limit of an organisation."""

from __future__ import annotations

from dataclasses import dataclass

from .quota_unit import QuotaUnit


@dataclass(frozen=True, slots=True)
class Quota:
    """A token bucket over all gateways together.

    Attributes
    ----------
    unit : QuotaUnit
        What `per_s` and `burst` count.
    per_s : float
        Sustained rate, in units a second; 0 for no limit.
    burst : float
        Units beyond the sustained rate that may come at once.
    plain_tokens : int
        Cost of a request without a token count, when the unit is tokens.
    """

    unit: QuotaUnit
    per_s: float
    burst: float
    plain_tokens: int = 0

    @property
    def limited(self) -> bool:
        """Whether there is any limit."""
        return self.per_s > 0

    def cost(self, tokens: int | None) -> float:
        """Return the units that a request costs; `tokens` is None for one without a token count."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


NO_QUOTA = Quota(QuotaUnit.REQUESTS, 0.0, 0.0)
