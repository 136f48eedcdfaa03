"""How far all gateways together may exceed an organisation's quota."""

from __future__ import annotations

from dataclasses import dataclass

from ..routes import Quota


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bound on the units that pass in any window: `quota * (1 + excess_ratio) + slack`.

    The quota of a window is its rate times the length of the window, plus its burst.

    Attributes
    ----------
    window_ms : int
        Length of the window; the bound holds for a window that begins at any time.
    excess_ratio : float
        Part of the quota that may pass beyond it; 0.1 for a tenth.
    slack : float
        Further units that may pass, in the unit of the quota.
    """

    window_ms: int
    excess_ratio: float
    slack: float

    def spare(self, quota: Quota) -> float:
        """Return the units that may pass beyond the quota in one window.

        They cover what gateways admit before the leader, which counts the use, can know of it.
        """
        in_window = quota.per_s * self.window_ms / 1000 + quota.burst
        return in_window * self.excess_ratio + self.slack


CALLER_QUOTA_BOUNDS = QuotaBounds(10_000, 0.1, 0.0)
"""For callers of the OpenAI-compatible API, whose rates hold to within a tenth."""
STRICT_QUOTA_BOUNDS = QuotaBounds(8_000, 0.0, 0.0)
"""For quotas that must not be exceeded; 8 s is a common window."""
