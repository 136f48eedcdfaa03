"""Which upstreams are alive, by what was heard of them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord

SILENT_AFTER_HEARTBEATS = 5
"""Heartbeats may be seconds late while the upstream serves well, and connections show a crash
sooner; so only a long silence counts by itself."""
SUSPECT_AFTER_HEARTBEATS = 1.5
"""With a failed connection at the same time, one missing heartbeat is enough."""
FORGET_AFTER_MS = 60_000
"""Far beyond any pause; only the record is dropped, a later announcement brings it back."""


class UpstreamWatch:
    """When each incarnation was last heard."""

    def __init__(self, clock: Clock, heartbeat_ms: int) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._heard_ms: dict[str, int] = {}
        self._number: dict[str, int] = {}
        self._suspected: set[str] = set()

    def heard(self, instance: str, number: int) -> bool:
        """Note an announcement; False when a newer one was heard before."""
        if number < self._number.get(instance, -1):
            return False
        self._number[instance] = number
        self._heard_ms[instance] = self._clock.now_ms()
        self._suspected.discard(instance)
        return True

    def answered(self, instance: str) -> None:
        """Note that a gateway got an answer; as good as an announcement."""
        self._heard_ms[instance] = self._clock.now_ms()

    def unreachable(self, instance: str) -> None:
        """Note that a gateway could not open a connection."""
        if self._silent_ms(instance) > SUSPECT_AFTER_HEARTBEATS * self._heartbeat_ms:
            self._suspected.add(instance)

    def ended(self, instance: str) -> None:
        """Note that answers broke off there and its port was closed just after.

        Its process is gone for seconds, and it was heard a moment ago. Symptom while it still
        counts as serving: half of the requests that the ended engine's callers repeat are sent
        to closed ports, and others wait for an adapter that nobody loads any more. A process that
        is there after all says so with its next heartbeat.
        """
        self._suspected.add(instance)

    def serving(self, records: Iterable[UpstreamRecord]) -> Iterator[UpstreamRecord]:
        """Yield the upstreams that may get new work, one for each address.

        An address goes to another incarnation after a crash, and an announcement of the one
        before may still arrive after that. Whoever was heard last is taken; the incarnation that
        we expect goes with each request, so a wrong guess is refused and runs nothing.
        """
        newest: dict[str, UpstreamRecord] = {}
        for record in records:
            if self._is_silent(record.instance):
                continue
            other = newest.get(record.address)
            if other is None or self._heard_at(record.instance) >= self._heard_at(other.instance):
                newest[record.address] = record
        return (record for record in newest.values() if not record.leaving)

    def forgettable(self, records: Iterable[UpstreamRecord]) -> Iterator[str]:
        """Instances that were silent for so long that they are gone."""
        for record in records:
            if self._silent_ms(record.instance) > FORGET_AFTER_MS:
                yield record.instance

    def _is_silent(self, instance: str) -> bool:
        limit_ms = SILENT_AFTER_HEARTBEATS * self._heartbeat_ms
        return instance in self._suspected or self._silent_ms(instance) > limit_ms

    def _heard_at(self, instance: str) -> int:
        # A new leader has heard nothing yet; it counts its start as such a moment, so that it
        # does not take every upstream for dead.
        return self._heard_ms.setdefault(instance, self._clock.now_ms())

    def _silent_ms(self, instance: str) -> int:
        return self._clock.now_ms() - self._heard_at(instance)
