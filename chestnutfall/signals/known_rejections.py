"""Upstreams that bear few rejections, as one gateway knows them."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from ..clock import Clock
from .messages import HeardRejections, RejectionsInForce
from .rejection_signal import (
    DeclaredRejections,
    RejectionSignal,
    UndeclaredRejections,
    UnreadableRejections,
)

log = logging.getLogger(__name__)
WINDOW_MS = 1_000
"""Upstreams count their rejections within a second."""
MAX_UPSTREAMS = 4_096
"""Upstreams that one gateway keeps; those updated most recently stay."""


class KnownRejections:
    """Numbers from the answers to this gateway, which it reports, and from the leader's messages.

    Parameters
    ----------
    send_report : callable
        Sends a message to the leader; drops it if there is none.
    """

    def __init__(self, send_report: Callable[[HeardRejections], None], clock: Clock) -> None:
        self._send_report = send_report
        self._clock = clock
        self._per_s: dict[str, int] = {}
        self._rejected_ms: dict[str, deque[int]] = {}
        self._unreadable: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._per_s)

    def per_s(self, instance: str) -> int | None:
        """Rejections a second that an upstream bears; None for any number."""
        return self._per_s.get(instance)

    def observe(
        self, instance: str, signal: RejectionSignal, succeeded: bool, rejected: bool
    ) -> None:
        """Apply the signal of an answer, and report a change.

        Parameters
        ----------
        succeeded : bool
            Whether the answer is a success. A failure without the header ends nothing.
        rejected : bool
            Whether the answer rejects the request for want of room.
        """
        match signal:
            case DeclaredRejections(per_s):
                self._set(instance, per_s)
            case UndeclaredRejections() if succeeded and instance in self._per_s:
                self._set(instance, None)
            case UnreadableRejections(text) if self._unreadable.get(instance) != text:
                log.warning(
                    "rejections: instance=%s unreadable %r, expected a whole number", instance, text
                )
                self._unreadable[instance] = text
                if len(self._unreadable) > MAX_UPSTREAMS:
                    self._unreadable.pop(next(iter(self._unreadable)))
            case _:
                pass
        if rejected and instance in self._per_s:
            self._rejected_ms.setdefault(instance, deque()).append(self._clock.now_ms())

    def _set(self, instance: str, per_s: int | None) -> None:
        known = self._per_s.pop(instance, None)
        if per_s is not None:
            self._per_s[instance] = per_s
            if len(self._per_s) > MAX_UPSTREAMS:
                self._forget(next(iter(self._per_s)))
        else:
            self._forget(instance)
        if known != per_s:
            log.info("rejections: instance=%s bears=%s", instance, per_s)
            self._send_report(HeardRejections(instance, per_s))

    def _forget(self, instance: str) -> None:
        self._per_s.pop(instance, None)
        self._rejected_ms.pop(instance, None)

    def may_send(self, instance: str) -> bool:
        """Whether this gateway alone leaves the upstream the rejections that it bears."""
        per_s = self._per_s.get(instance)
        if per_s is None:
            return True
        times = self._rejected_ms.get(instance)
        if not times:
            return True
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while times and times[0] <= oldest_ms:
            times.popleft()
        return not times or len(times) < per_s

    def rejected_since(self, instance: str, since_ms: int) -> bool:
        """Whether an upstream that bears few rejections rejected a request at `since_ms` or later.

        Only requests of this gateway count.
        """
        return any(at_ms >= since_ms for at_ms in self._rejected_ms.get(instance, ()))

    def apply(self, update: RejectionsInForce) -> None:
        """Apply what the leader knows from all gateways."""
        for one in update.upstreams:
            if one.per_s is None:
                self._forget(one.instance)
            else:
                self._per_s[one.instance] = one.per_s

    def reports_for_new_leader(self) -> tuple[HeardRejections, ...]:
        """Reports of all known upstreams, for a leader that has just started its term."""
        return tuple(HeardRejections(name, per_s) for name, per_s in self._per_s.items())
