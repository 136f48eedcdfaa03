"""The backoffs of upstreams as one gateway knows them."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import TypeVar

from ..clock import Clock
from .backoff_signal import AskedBackoff, UnreadableBackoff
from .messages import BackoffHints, HeardBackoff
from .upstream_signals import UpstreamSignals

log = logging.getLogger(__name__)
Value = TypeVar("Value")
MAX_BACKOFFS = 4_096
"""Upstreams that one gateway keeps; those updated most recently stay."""


class KnownBackoffs:
    """Backoffs that answers asked this gateway for, and hints of those asked of other gateways.

    A backoff belongs to one incarnation of an upstream; its successor at the same address has
    another instance name.

    Parameters
    ----------
    send_report : callable
        Sends a message to the leader or the engine's owner; drops it if there is none.
    """

    def __init__(self, send_report: Callable[[HeardBackoff], None], clock: Clock) -> None:
        self._send_report = send_report
        self._clock = clock
        self._until_ms: dict[str, float] = {}
        self._probably_rejects_until_ms: dict[str, float] = {}
        self._unreadable: dict[str, str] = {}

    def __len__(self) -> int:
        """Number of upstreams that accept no requests from this gateway now."""
        now_ms = self._clock.now_ms()
        return sum(until_ms > now_ms for until_ms in self._until_ms.values())

    def observe(self, instance: str, signals: UpstreamSignals) -> None:
        """Apply the signals of an answer, and report a new end of the backoff."""
        now_ms = self._clock.now_ms()
        if signals.leaving:
            self._extend(instance, math.inf)
        match signals.backoff:
            case AskedBackoff(ms):
                self._extend(instance, now_ms + ms)
            case UnreadableBackoff(text) if self._unreadable.get(instance) != text:
                log.warning(
                    "backoff: instance=%s unreadable backoff %r, expected a time", instance, text
                )
                _keep_newest(self._unreadable, instance, text)
            case _:
                pass

    def _extend(self, instance: str, until_ms: float) -> None:
        # Answers can arrive in another order than they were sent, and each backoff that was asked
        # for has to be kept: the latest end holds.
        if until_ms <= self._until_ms.get(instance, self._clock.now_ms()):
            return
        _keep_newest(self._until_ms, instance, until_ms)
        self._send_report(self._report(instance, until_ms))

    def _report(self, instance: str, until_ms: float) -> HeardBackoff:
        left_ms = until_ms - self._clock.now_ms()
        return HeardBackoff(instance, None if math.isinf(left_ms) else math.ceil(left_ms))

    def reports_for_new_leader(self) -> tuple[HeardBackoff, ...]:
        """Reports of all backoffs that have not ended, for a leader that has just started."""
        now_ms = self._clock.now_ms()
        held = self._until_ms.items()
        return tuple(self._report(name, until_ms) for name, until_ms in held if until_ms > now_ms)

    def report_for_owner(self, instance: str) -> HeardBackoff | None:
        """The report of one upstream's backoff, for its owner; None if there is none."""
        until_ms = self._until_ms.get(instance, -math.inf)
        return self._report(instance, until_ms) if until_ms > self._clock.now_ms() else None

    def left_ms(self, instance: str) -> float:
        """Time until an upstream accepts requests from this gateway; infinite if it is leaving."""
        until_ms = self._until_ms.get(instance)
        return max(until_ms - self._clock.now_ms(), 0.0) if until_ms is not None else 0.0

    # Hints of backoffs asked of other gateways

    def apply_hints(self, update: BackoffHints) -> None:
        """Apply the leader's hints of upstreams that asked other gateways for a backoff."""
        now_ms = self._clock.now_ms()
        for hint in update.hints:
            until_ms = math.inf if hint.left_ms is None else now_ms + hint.left_ms
            _keep_newest(self._probably_rejects_until_ms, hint.instance, until_ms)

    def probably_rejects(self, instance: str) -> bool:
        """Return whether a hint says that an upstream probably rejects a request."""
        return self._probably_rejects_until_ms.get(instance, -math.inf) > self._clock.now_ms()

    def note_served(self, instance: str) -> None:
        """Drop the hint of an upstream that has just answered with success.

        The backoff concerns other gateways only. A hint that the upstream is leaving stays.
        """
        if not math.isinf(self._probably_rejects_until_ms.get(instance, -math.inf)):
            self._probably_rejects_until_ms.pop(instance, None)


def _keep_newest(held: dict[str, Value], instance: str, value: Value) -> None:
    held.pop(instance, None)
    held[instance] = value
    if len(held) > MAX_BACKOFFS:
        held.pop(next(iter(held)))
