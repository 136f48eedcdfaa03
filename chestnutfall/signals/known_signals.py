"""All signals of upstreams that one gateway knows, and the check before each send."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..clock import Clock
from ..limits.known_limits import KnownLimits
from ..limits.messages import HeardLimit
from .known_backoffs import KnownBackoffs
from .known_rejections import KnownRejections
from .messages import HeardBackoff, HeardRejections
from .retry_spread import RetrySpread
from .upstream_signals import UpstreamSignals


class KnownSignals:
    """Takes in the signals of every answer, and allows or forbids every send.

    Attributes
    ----------
    limits : KnownLimits
        Requests per second that upstreams accept.
    backoffs : KnownBackoffs
        Upstreams that accept no requests for some time, or are leaving.
    rejections : KnownRejections
        Upstreams that bear few rejections; by default those that this gateway alone hears of.
    """

    def __init__(
        self,
        limits: KnownLimits,
        backoffs: KnownBackoffs,
        clock: Clock,
        rejections: KnownRejections | None = None,
    ) -> None:
        self.limits = limits
        self.backoffs = backoffs
        if rejections is None:
            rejections = KnownRejections(lambda report: None, clock)
        self.rejections = rejections
        self._spread = RetrySpread(clock)

    def observe(
        self,
        instance: str,
        signals: UpstreamSignals,
        sent_ms: int,
        succeeded: bool,
        rejected: bool = False,
    ) -> None:
        """Apply the signals of an answer.

        Parameters
        ----------
        sent_ms : int
            Clock time at which the request was sent.
        succeeded : bool
            Whether the answer is a success.
        rejected : bool
            Whether the answer rejects the request for want of room.
        """
        self.limits.observe(instance, signals.limit, sent_ms, succeeded)
        self.backoffs.observe(instance, signals)
        self.rejections.observe(instance, signals.rejections, succeeded, rejected)
        if succeeded:
            self.backoffs.note_served(instance)

    def may_send(self, instance: str) -> bool:
        """Return whether a request may be sent now; checked last before each send.

        The upstream was chosen earlier, by this gateway or another process, and since then an
        answer to another request may have asked for a backoff. Without this check, requests that
        were placed earlier, waited for an adapter, are repeated or are resumed would reach an
        upstream that has just asked for no requests.
        """
        return not self.backoffs.left_ms(instance) and self.rejections.may_send(instance)

    def reports_for_new_leader(self) -> tuple[HeardLimit | HeardBackoff | HeardRejections, ...]:
        """Reports of all known signals, for a leader that has just started its term."""
        return (
            *self.limits.reports_for_new_leader(),
            *self.backoffs.reports_for_new_leader(),
            *self.rejections.reports_for_new_leader(),
        )

    def held_back_ms(self, instances: Iterable[str]) -> float:
        """Time until the first of some upstreams accepts requests from this gateway.

        Returns
        -------
        float
            0 if one accepts them now or `instances` is empty; infinite if all are leaving.
        """
        least_ms = math.inf
        found = False
        for instance in instances:
            left_ms = self.backoffs.left_ms(instance)
            if not left_ms:
                return 0.0
            found = True
            least_ms = min(least_ms, left_ms)
        return least_ms if found else 0.0

    def caller_retry_ms(self, service: str, held_back_ms: float) -> int:
        """Time after which a caller should retry when no upstream of a service accepts requests.

        Differs between callers, so that they don't all retry at once.

        Parameters
        ----------
        held_back_ms : float
            Result of `held_back_ms` for the upstreams of the service.
        """
        return self._spread.wait_ms(service, held_back_ms)
