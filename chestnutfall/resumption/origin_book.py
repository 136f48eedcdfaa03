"""The origins of recent streams, by the attempts that began them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..clock import Clock
from .stream_origin import StreamOrigin

MAX_KEPT_MS = 60_000
"""Longest time for which an origin is kept; a client that comes back later has given its stream up
in any deployment."""


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream that a client's attempt began.

    Attributes
    ----------
    until_ms : int
        Clock time from which nobody takes the stream up.
    """

    origin: StreamOrigin
    until_ms: int


class OriginBook:
    """Keeps at most `size` streams, the newest ones.

    A stream that was dropped is unknown, and is then not resumed: a bounded book costs some callers
    the beginning of their answer, and never gives one the text of two builds.
    """

    def __init__(self, size: int, clock: Clock) -> None:
        self._size = size
        self._clock = clock
        self._streams: OrderedDict[tuple[str, str], BegunStream] = OrderedDict()

    def __len__(self) -> int:
        return len(self._streams)

    def note(self, attempt: str, owner: str, origin: StreamOrigin, left_ms: int) -> None:
        """Record what the stream of an owner's attempt began on; of a repeated one the last counts.

        Parameters
        ----------
        attempt : str
            Id of the attempt; empty if it has none by which it is remembered.
        left_ms : int
            Time until its client gives the stream up.
        """
        if not attempt:
            # Several streams may have none that is remembered, and began on different builds.
            return
        now_ms = self._clock.now_ms()
        # Attempts of two callers may bear the same id.
        key = (attempt, owner)
        self._streams.pop(key, None)
        until_ms = now_ms + min(left_ms, MAX_KEPT_MS)
        self._streams[key] = BegunStream(origin, until_ms)
        while len(self._streams) > self._size or self._is_oldest_over(now_ms):
            self._streams.popitem(last=False)

    def find(self, attempt: str, owner: str) -> StreamOrigin | None:
        """Return the origin of an owner's stream; None if it is not known."""
        known = self._streams.get((attempt, owner))
        if known is None or known.until_ms <= self._clock.now_ms():
            return None
        return known.origin

    def current(self) -> dict[tuple[str, str], BegunStream]:
        """Return the streams that may still be taken up, by attempt and owner."""
        now_ms = self._clock.now_ms()
        return {key: one for key, one in self._streams.items() if one.until_ms > now_ms}

    def _is_oldest_over(self, now_ms: int) -> bool:
        oldest = next(iter(self._streams.values()), None)
        return oldest is not None and oldest.until_ms <= now_ms
