"""Liveness of upstreams, from announcements and from observations of gateways."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord

SILENT_AFTER_HEARTBEATS = 5
"""Heartbeats may be seconds late while an upstream serves well, and connections reveal a crash
earlier; so silence alone counts only if it is long."""
SUSPECT_AFTER_HEARTBEATS = 1.5
"""Together with a failed connection, one missing heartbeat is enough."""
FORGET_AFTER_MS = 60_000
"""Far longer than any pause. Only the record is dropped; a later announcement adds it again."""


class UpstreamLiveness:
    """Time of the last sign of life of each incarnation.

    Parameters
    ----------
    heartbeat_ms : int
        Heartbeat interval of upstreams.
    """

    def __init__(self, clock: Clock, heartbeat_ms: int) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._last_seen_ms: dict[str, int] = {}
        self._newest_number: dict[str, int] = {}
        self._suspected: set[str] = set()

    def record_announcement(self, instance: str, number: int) -> bool:
        """Record an announcement; False if a newer one was recorded before."""
        if number < self._newest_number.get(instance, -1):
            return False
        self._newest_number[instance] = number
        self._last_seen_ms[instance] = self._clock.now_ms()
        self._suspected.discard(instance)
        return True

    def forget(self, instance: str) -> None:
        """Forget an incarnation whose record was dropped."""
        self._last_seen_ms.pop(instance, None)
        self._newest_number.pop(instance, None)
        self._suspected.discard(instance)

    def __len__(self) -> int:
        return len(self._last_seen_ms)

    def answered(self, instance: str) -> None:
        """Note an answer as a sign of life; unlike an announcement, it does not end a suspicion."""
        self._last_seen_ms[instance] = self._clock.now_ms()

    def unreachable(self, instance: str) -> bool:
        """Suspect an upstream that a gateway could not reach, if a heartbeat is missing too.

        Returns
        -------
        bool
            Whether it was not suspected before and is now.
        """
        if self._silent_ms(instance) <= SUSPECT_AFTER_HEARTBEATS * self._heartbeat_ms:
            return False
        return self._suspect(instance)

    def ended(self, instance: str) -> bool:
        """Suspect an upstream whose answers broke off and whose port was closed directly after.

        Its process is gone for seconds although its last heartbeat is recent. If it still counted
        as serving, half of the requests that its callers repeat would be sent to closed ports, and
        others would wait for an adapter that no engine loads. If the process is alive after all,
        its next heartbeat shows that.

        Returns
        -------
        bool
            Whether it was not suspected before and is now.
        """
        return self._suspect(instance)

    def _suspect(self, instance: str) -> bool:
        is_new = instance not in self._suspected
        self._suspected.add(instance)
        return is_new

    def serving(self, records: Iterable[UpstreamRecord]) -> Iterator[UpstreamRecord]:
        """Yield the upstreams that may get new work, at most one per address.

        After a crash another incarnation may get the address, and a delayed announcement of the
        previous one may still arrive. The incarnation with the latest sign of life is used. Each
        request names the incarnation that it is meant for, so if the choice is wrong the upstream
        refuses the request and runs nothing.
        """
        newest: dict[str, UpstreamRecord] = {}
        for record in records:
            if self._is_silent(record.instance):
                continue
            other = newest.get(record.address)
            if other is None or self._last_seen_at(record.instance) >= self._last_seen_at(
                other.instance
            ):
                newest[record.address] = record
        return (record for record in newest.values() if not record.leaving)

    def long_silent(self, records: Iterable[UpstreamRecord]) -> Iterator[str]:
        """Yield the instances whose records can be dropped because they were silent for so long."""
        for record in records:
            if self._silent_ms(record.instance) > FORGET_AFTER_MS:
                yield record.instance

    def _is_silent(self, instance: str) -> bool:
        limit_ms = SILENT_AFTER_HEARTBEATS * self._heartbeat_ms
        return instance in self._suspected or self._silent_ms(instance) > limit_ms

    def _last_seen_at(self, instance: str) -> int:
        # A new leader has no signs of life yet. It counts the first look at an upstream as one, so
        # that it does not consider every upstream dead.
        return self._last_seen_ms.setdefault(instance, self._clock.now_ms())

    def _silent_ms(self, instance: str) -> int:
        return self._clock.now_ms() - self._last_seen_at(instance)
