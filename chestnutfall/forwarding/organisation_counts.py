"""Metrics per organisation."""

from __future__ import annotations

from ..observability.prometheus_metrics import PrometheusMetrics
from .admission import Admitted, NotAdmitted

MAX_ORGANISATIONS = 64
"""Limit on organisations with counters of their own; each adds some counters to metrics that are
fetched every few seconds."""
OTHERS = "others"


class OrganisationCounts:
    """Counts admitted and refused calls per organisation.

    The first `MAX_ORGANISATIONS` that send calls have counters of their own; all others share one
    set.
    """

    def __init__(self, metrics: PrometheusMetrics) -> None:
        self._metrics = metrics
        self._counted: set[str] = set()

    def admitted(self, admitted: Admitted) -> None:
        """Count an admitted call and its quota units."""
        if not admitted.name:
            return
        label = self._label(admitted.name)
        self._metrics.count(f"organisation_{label}_admitted")
        if admitted.charge is not None:
            self._metrics.count(f"organisation_{label}_units", int(admitted.charge.units))

    def refused(self, refused: NotAdmitted) -> None:
        """Count a refused call by its reason."""
        if refused.organisation:
            label = self._label(refused.organisation)
            self._metrics.count(f"organisation_{label}_{refused.reason}")

    def _label(self, organisation: str) -> str:
        if organisation not in self._counted:
            if len(self._counted) >= MAX_ORGANISATIONS:
                return OTHERS
            self._counted.add(organisation)
        return "".join(one if one.isalnum() else "_" for one in organisation)
