"""The limits of upstreams as one gateway knows them."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..clock import Clock
from .latest_limit import LatestLimit
from .leaderless_limits import LEADERLESS_FRACTION, LeaderlessLimits
from .limit_signal import DeclaredLimit, LimitSignal, UndeclaredLimit, UnreadableLimit
from .messages import HeardLimit, LimitsInForce

log = logging.getLogger(__name__)
MAX_LIMITS = 4_096
"""Upstreams whose limits one gateway keeps; those updated most recently stay."""


class KnownLimits:
    """Limits from the answers to this gateway, which it reports, and from the leader's messages.

    Parameters
    ----------
    send_report : callable
        Sends a message to the leader or the engine's owner; drops it if there is none.
    gateways : callable
        Returns the number of gateways that share each upstream.
    leaderless_fraction : float
        Fraction of a limit that gateways share while they have no leader; 1 if the upstreams never
        have one.
    """

    def __init__(
        self,
        send_report: Callable[[HeardLimit], None],
        gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        leaderless_fraction: float = LEADERLESS_FRACTION,
    ) -> None:
        self._send_report = send_report
        self._clock = clock
        self._latest: dict[str, LatestLimit] = {}
        self._unreadable: dict[str, str] = {}
        self._leaderless = LeaderlessLimits(gateways, clock, rng, leaderless_fraction)

    def __len__(self) -> int:
        return len(self._latest)

    def per_s(self, instance: str) -> float | None:
        """Requests per second that an upstream accepts; None for no limit."""
        latest = self._latest.get(instance)
        return latest.per_s if latest is not None else None

    def observe(self, instance: str, signal: LimitSignal, sent_ms: int, succeeded: bool) -> None:
        """Apply the limit signal of an answer, and report it.

        Parameters
        ----------
        sent_ms : int
            Clock time at which the request was sent.
        succeeded : bool
            Whether the answer is a success. A failure without a limit removes none, since it may
            come from a part of the upstream that does not know its limit.
        """
        match signal:
            case DeclaredLimit(per_s):
                self._record(instance, per_s, sent_ms)
            case UndeclaredLimit() if succeeded and instance in self._latest:
                self._record(instance, None, sent_ms)
            case UnreadableLimit(text) if self._unreadable.get(instance) != text:
                log.warning(
                    "limit: instance=%s unreadable limit %r, expected a number", instance, text
                )
                self._unreadable[instance] = text
                if len(self._unreadable) > MAX_LIMITS:
                    self._unreadable.pop(next(iter(self._unreadable)))
            case _:
                pass

    def _record(self, instance: str, per_s: float | None, sent_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._update(instance, per_s, sent_ms, now_ms)
        self._send_report(HeardLimit(instance, per_s, now_ms - sent_ms))

    def _update(
        self, instance: str, per_s: float | None, sent_ms: float, received_ms: float
    ) -> None:
        # Reinserting keeps the dictionary in order of the last update, the oldest first.
        latest = self._latest.pop(instance, None) or LatestLimit()
        latest.update(per_s, sent_ms, received_ms)
        if latest.per_s is None:
            return
        self._latest[instance] = latest
        if len(self._latest) > MAX_LIMITS:
            self._latest.pop(next(iter(self._latest)))

    def apply(self, update: LimitsInForce) -> None:
        """Apply limits from the leader, which has the reports of all gateways."""
        now_ms = self._clock.now_ms()
        for instance in update.ended:
            self._latest.pop(instance, None)
        for limit in update.limits:
            self._update(limit.instance, limit.per_s, now_ms, now_ms)

    def reports_for_new_leader(self) -> tuple[HeardLimit, ...]:
        """Reports of all known limits, for a leader that has just started its term.

        Also drops the counts of `may_send_without_leader`.
        """
        self._leaderless.leader_found()
        now_ms = self._clock.now_ms()
        return tuple(_as_report(name, latest, now_ms) for name, latest in self._latest.items())

    def report_for_owner(self, instance: str) -> HeardLimit | None:
        """The report of one upstream's limit, for its owner; None if there is no limit."""
        latest = self._latest.get(instance)
        return _as_report(instance, latest, self._clock.now_ms()) if latest is not None else None

    def may_send_without_leader(self, instance: str) -> bool:
        """Return whether a request may be sent without asking a leader, and count it if so."""
        per_s = self.per_s(instance)
        return per_s is None or self._leaderless.try_send(instance, per_s)

    def leaderless_interval_ms(self, instance: str) -> float:
        """Mean time between two requests that this gateway may send without a leader."""
        per_s = self.per_s(instance)
        return self._leaderless.interval_ms(per_s) if per_s is not None else 0.0


def _as_report(instance: str, latest: LatestLimit, now_ms: int) -> HeardLimit:
    asked_ago_ms, heard_ago_ms = int(now_ms - latest.sent_ms), int(now_ms - latest.received_ms)
    return HeardLimit(instance, latest.per_s, asked_ago_ms, heard_ago_ms)
