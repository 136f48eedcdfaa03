"""Whether the silence of an upstream is its own, or that of its service or of this gateway."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..clock import Clock

LASTING_MS = 2_000
"""A sound upstream is silent for a second or so; one that is silent for longer hangs."""
BEYOND_USUAL_MS = 1_000
"""The same beyond what is usual, where an upstream usually works for longer before it writes."""
WINDOW_MS = 500
"""Longest time in which another upstream must have been heard to count as speaking."""
WINDOW_SHARE = 0.5
"""That time as a share of the silence that it is compared with."""
MIN_PAUSED = 2
"""Other silent upstreams, of any service, that make a silence one of this gateway."""
REMEMBERED_MS = 10_000
"""How long the silence of an upstream without sends is remembered, and a spoken part."""
MAX_IDLE = 256
"""Upstreams without sends that are kept; more than a gateway hears of within the window."""
SERVICE_SILENT = "service_silent"
GATEWAY_SILENT = "gateway_silent"
SERVICE_RESUMES = "service_resumes"
"""Reasons to wait for a silent upstream."""
VERDICT_MS = 20
"""How long a common silence that one call found holds for the others, so that many silent calls do
not each compare all upstreams."""
SPAN_GAP_MS = 200
"""A common silence that was not seen for so long is over."""


def lasting_ms(usual_ms: float) -> int:
    """Return how long an upstream is silent that hangs, in ms.

    Parameters
    ----------
    usual_ms : float
        How long a sound one is usually silent at most.
    """
    return max(LASTING_MS, math.ceil(usual_ms) + BEYOND_USUAL_MS)


@dataclass(slots=True)
class _Upstream:
    """What this gateway heard of one upstream.

    Attributes
    ----------
    usual_ms : list of float
        How long it is silent at most for each send in progress, if it is sound.
    writing : int
        Sends in progress that wait for their clients and not for the upstream.
    quiet_since_ms : int or None
        Clock time since which a send has waited and nothing was heard; None if none waits.
    heard_ms : int
        Clock time of the last part that it wrote.
    ended_ms : int
        Clock time at which the last send ended.
    answered_ms : int
        Clock time of its last whole answer, if nothing failed since.
    """

    service: str
    usual_ms: list[float] = field(default_factory=list)
    writing: int = 0
    quiet_since_ms: int | None = None
    heard_ms: int = -REMEMBERED_MS
    ended_ms: int = 0
    answered_ms: int = -REMEMBERED_MS

    def quiet_ms(self, now_ms: int) -> int:
        return 0 if self.quiet_since_ms is None else now_ms - self.quiet_since_ms

    def is_paused(self, window_ms: float, now_ms: int) -> bool:
        """Whether it is silent, by itself or with others, and does not hang yet."""
        if len(self.usual_ms) <= self.writing:
            return False
        usual_ms = min(self.usual_ms)
        least_ms = max(window_ms, WINDOW_SHARE * usual_ms)
        return least_ms <= self.quiet_ms(now_ms) < lasting_ms(usual_ms)

    def is_at_rest(self, now_ms: int) -> bool:
        """Whether it has answered all that it was sent, the last of it not long ago."""
        is_idle = not self.usual_ms and self.quiet_since_ms is None
        return is_idle and now_ms - self.answered_ms < REMEMBERED_MS


@dataclass(slots=True)
class _SilentSpan:
    """A time in which most upstreams of a service were silent, as far as calls asked.

    Attributes
    ----------
    since_ms, last_ms : int
        Clock times of the first and the last comparison that found it.
    reason : str
        What the last one found.
    """

    since_ms: int
    last_ms: int
    reason: str


class SilentUpstreams:
    """Compares the upstreams that this gateway waits for.

    If most of them are silent at once, the silence comes from what they share: the service, the
    links or this gateway. Another send would meet the same silence, and one for each call would
    spend the budget of repeats of the whole service within a second.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._upstreams: dict[str, _Upstream] = {}
        self._spans: dict[str, _SilentSpan] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def began(self, service: str, instance: str, usual_ms: float) -> None:
        """Record the beginning of a send.

        Parameters
        ----------
        usual_ms : float
            How long the upstream is silent at most for this send, if it is sound.
        """
        now_ms = self._clock.now_ms()
        known = self._upstreams.get(instance)
        if known is None:
            self._forget_idle(now_ms)
            known = self._upstreams[instance] = _Upstream(service)
        elif not known.usual_ms and now_ms - known.ended_ms > REMEMBERED_MS:
            known.quiet_since_ms = None
        known.usual_ms.append(usual_ms)
        if known.quiet_since_ms is None:
            known.quiet_since_ms = now_ms

    def heard(self, instance: str) -> None:
        """Record that an upstream wrote a part of an answer."""
        known = self._upstreams.get(instance)
        if known is not None:
            known.heard_ms = self._clock.now_ms()
            # A part of an answer that is no longer compared begins no silence of the next send.
            known.quiet_since_ms = known.heard_ms if known.usual_ms else None

    def write_begins(self, instance: str) -> None:
        """Record that a send writes to its client, and hears nothing until that has read it."""
        known = self._upstreams.get(instance)
        if known is not None:
            known.writing += 1

    def write_ends(self, instance: str) -> None:
        """Record that a send waits for its upstream again."""
        known = self._upstreams.get(instance)
        if known is None:
            return
        # Otherwise another send waited meanwhile.
        if known.writing >= len(known.usual_ms):
            known.quiet_since_ms = self._clock.now_ms()
        known.writing -= 1

    def ended(self, instance: str, usual_ms: float, was_silent: bool) -> None:
        """Record the end of a send.

        Parameters
        ----------
        was_silent : bool
            Whether the upstream had been silent for too long; its silence is then remembered.
        """
        known = self._upstreams[instance]
        known.usual_ms.remove(usual_ms)
        known.ended_ms = self._clock.now_ms()
        if not known.usual_ms and not was_silent:
            known.quiet_since_ms = None

    def answered(self, instance: str, whole: bool) -> None:
        """Record that an upstream answered a send as a whole, or that the answer was lost."""
        known = self._upstreams.get(instance)
        if known is not None:
            known.answered_ms = self._clock.now_ms() if whole else -REMEMBERED_MS

    def reason_to_wait(
        self, service: str, instances: Sequence[str], silent_ms: float, usual_ms: float
    ) -> str:
        """Return why a call should wait for its silent upstreams; empty if it should not.

        Parameters
        ----------
        instances : sequence of str
            The upstreams that work on the call, the newest last; they tell nothing of the others.
        silent_ms : float
            How long the newest one has been silent.
        usual_ms : float
            How long a sound upstream is usually silent at most, for the newest send.
        """
        now_ms = self._clock.now_ms()
        span = self._spans.get(service)
        if span is not None and now_ms - span.last_ms < VERDICT_MS:
            return span.reason
        reason = self._common_silence(service, instances, silent_ms, usual_ms)
        if reason:
            if span is None or now_ms - span.last_ms > SPAN_GAP_MS:
                span = self._spans[service] = _SilentSpan(now_ms, now_ms, reason)
            span.last_ms, span.reason = now_ms, reason
            return reason
        # The first parts after a common silence come from some upstreams only. The others get as
        # long as the silence lasted, but no longer than a sound one is usually silent.
        if span is not None and now_ms - span.last_ms < min(span.last_ms - span.since_ms, usual_ms):
            return SERVICE_RESUMES
        return ""

    def _common_silence(
        self, service: str, instances: Sequence[str], silent_ms: float, usual_ms: float
    ) -> str:
        """Return what is silent as a whole; empty if it is the upstream alone."""
        now_ms = self._clock.now_ms()
        window_ms = min(WINDOW_SHARE * silent_ms, WINDOW_MS)
        others = [one for name, one in self._upstreams.items() if name not in instances]
        speaking = [one for one in others if now_ms - one.heard_ms <= window_ms]
        paused = [one for one in others if one.is_paused(window_ms, now_ms)]
        if len(paused) >= MIN_PAUSED and not speaking:
            return GATEWAY_SILENT
        alike = [one for one in paused if one.service == service]
        if not alike:
            return ""
        # One that hangs does not count, so that it keeps no other call from leaving it.
        hangs = self._upstreams[instances[-1]].quiet_ms(now_ms) >= lasting_ms(usual_ms)
        silent = len(alike) + (not hangs)
        # Callers wait behind the silent ones, so the sound ones may have nothing to write.
        sound = sum(
            one.service == service and (one in speaking or one.is_at_rest(now_ms)) for one in others
        )
        return SERVICE_SILENT if silent > sound else ""

    def _forget_idle(self, now_ms: int) -> None:
        if len(self._upstreams) < MAX_IDLE:
            return
        for name, one in list(self._upstreams.items()):
            if not one.usual_ms and now_ms - one.ended_ms > REMEMBERED_MS:
                del self._upstreams[name]
