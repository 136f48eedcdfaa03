"""The memory that a process holds for its peers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from .account_full import AccountFull
from .holder import Holder

log = logging.getLogger(__name__)
SMALL_BYTES = 96 * 1024
"""What a usual request holds at most: its connection, its head and body, and a usual answer."""
LARGE_SHARE = 0.5
"""Part of the capacity that long requests and answers may keep together."""
KEPT_SHARE = 0.8
"""Part that all may keep together. In the rest, requests are read until they are whole."""
FREED_SHARE = 1 / 16
"""Part that is freed at once, so that the search for who gives way is rare."""
MIN_WAIT_MS = 1_000
"""A peer that brought something within this time counts as one that does so all the time."""
LOG_EVERY_MS = 1_000


class MemoryAccount:
    """Bounds what is held for all peers of a process together.

    A limit for each alone doesn't, and neither does one for each place: thousands of connections
    that hold little are more than a host has, and a body lies in several places on its way.

    What is held gives way, or is kept. While a request isn't whole, it gives way to others: first
    the one that has held most for longest without progress. So those who stop in the middle go
    before those who send on, long requests before short ones, and one that comes whole at once is
    hardly ever in question. What an upstream may have begun to run is kept, and so is each answer.
    Not more is kept than leaves room for reading requests, and long ones leave room for short ones.

    Parameters
    ----------
    capacity_bytes : int
        What all holders may hold together.
    count : callable
        Counts events, by name.

    Attributes
    ----------
    count : callable
        The same, for those who draw.
    held_bytes, kept_bytes : int
        What all holders hold, and what of it is kept.
    """

    def __init__(self, capacity_bytes: int, clock: Clock, count: Callable[[str], None]) -> None:
        self.capacity_bytes = capacity_bytes
        self._clock = clock
        self.count = count
        self.held_bytes = 0
        self.kept_bytes = 0
        self._yielding: set[Holder] = set()
        self._logged_ms = clock.now_ms() - LOG_EVERY_MS
        self._gave_way = 0

    def now_ms(self) -> int:
        """Return the clock time."""
        return self._clock.now_ms()

    @property
    def is_half_full(self) -> bool:
        """Whether at least half of the capacity is held."""
        return 2 * self.held_bytes >= self.capacity_bytes

    def holder(self, give_way: Callable[[], None] | None = None) -> Holder:
        """Return a holder of nothing; without `give_way`, what it holds is kept."""
        one = Holder(self, give_way)
        if not one.is_kept:
            self._yielding.add(one)
        return one

    # Called by holders

    def resize(self, holder: Holder, size: int) -> None:
        if holder.is_closed:
            return
        growth = size - holder.size
        if growth > 0:
            if holder.is_kept:
                self._check_kept(size, growth)
            if self.held_bytes + growth > self.capacity_bytes:
                self._make_room(holder, growth)
        self._change(holder, growth)

    def force(self, holder: Holder, size: int) -> None:
        if not holder.is_closed:
            self._change(holder, size - holder.size)

    def keep(self, holder: Holder, size: int) -> None:
        if holder.is_kept or holder.is_closed:
            self.resize(holder, size)
            return
        self._check_kept(size, size)
        self.resize(holder, size)
        self._yielding.discard(holder)
        holder.is_kept = True
        self.kept_bytes += holder.size

    def yield_again(self, holder: Holder) -> None:
        if holder.is_kept and not holder.is_closed:
            holder.is_kept = False
            self.kept_bytes -= holder.size
            self._yielding.add(holder)

    def close(self, holder: Holder) -> None:
        self._change(holder, -holder.size)
        self._yielding.discard(holder)
        holder.is_closed = True
        # Its owner refers to it.
        holder.give_way = None

    def _change(self, holder: Holder, growth: int) -> None:
        holder.size += growth
        self.held_bytes += growth
        if holder.is_kept:
            self.kept_bytes += growth

    def _check_kept(self, size: int, growth: int) -> None:
        share = KEPT_SHARE if size <= SMALL_BYTES else LARGE_SHARE
        if self.kept_bytes + growth > share * self.capacity_bytes:
            self.count("memory_not_kept")
            raise AccountFull(f"{size} bytes, and {self.kept_bytes} are kept for others")

    # Who gives way

    def yielding(self) -> list[Holder]:
        """Return the holders that give way, those first that have waited longest for their peer."""
        return sorted(self._yielding, key=lambda one: one.progress_ms)

    def make_one_give_way(self, holder: Holder) -> None:
        """Let a holder give what it holds back; what is left may give way once more."""
        if holder.give_way is not None:
            holder.give_way()
        self._gave_way += 1
        self._log()

    def _make_room(self, asking: Holder, growth: int) -> None:
        """Let others give way until `growth` bytes more may be held.

        Raises
        ------
        AccountFull
            When the one that asks would be the next to give way, or nobody else can.
        """
        now_ms = self._clock.now_ms()
        wanted = self.capacity_bytes * (1 - FREED_SHARE) - growth
        asked = _weight(asking, asking.size + growth, now_ms)
        for one in sorted(self._yielding, key=lambda one: -_weight(one, one.size, now_ms)):
            if self.held_bytes <= wanted:
                return
            is_lighter = not asking.is_kept and _weight(one, one.size, now_ms) < asked
            if one is asking or is_lighter:
                break
            self.make_one_give_way(one)
        if self.held_bytes + growth > self.capacity_bytes:
            self.count("memory_full")
            raise AccountFull(f"{growth} bytes more, and {self.held_bytes} are held")

    def _log(self) -> None:
        """Log who gave way, once in a while: a crowd must not fill the log."""
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < LOG_EVERY_MS:
            return
        log.warning(
            "memory: gave_way=%d held=%d kept=%d of=%d holders=%d",
            self._gave_way,
            self.held_bytes,
            self.kept_bytes,
            self.capacity_bytes,
            len(self._yielding),
        )
        self._logged_ms, self._gave_way = now_ms, 0


def _weight(holder: Holder, size: int, now_ms: int) -> int:
    """Return what a holder costs the others: bytes, and ms without progress that it has held them.

    Size alone would take the memory of a slow but honest upload for many that have stopped, and
    time alone that of many short requests for a long one.
    """
    return size * max(now_ms - holder.progress_ms, MIN_WAIT_MS)
