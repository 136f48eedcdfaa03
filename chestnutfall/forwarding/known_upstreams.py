"""Upstreams that accept work, as last received from the leader."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..control.upstream_record import UpstreamRecord
from ..coordination.messages import UpstreamsChange, UpstreamsPart
from ..coordination.upstream_views import added_records, part_records


class KnownUpstreams:
    """Upstreams by instance and by service.

    A new leader sends all upstreams in parts. Until the last part has arrived, the state from the
    previous leader stays in use.

    Attributes
    ----------
    mixed : frozenset of str
        Services that have had several builds lately.
    """

    def __init__(self) -> None:
        self._current: dict[str, UpstreamRecord] = {}
        self._incoming: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, list[UpstreamRecord]] | None = None
        self.mixed: frozenset[str] = frozenset()

    def get(self, instance: str) -> UpstreamRecord | None:
        """Return the upstream with this instance id; None if it does not accept work."""
        return self._current.get(instance)

    def instances(self) -> set[str]:
        """Return the instance ids of all upstreams that accept work."""
        return set(self._current)

    def all(self) -> Iterable[UpstreamRecord]:
        """Return all upstreams that accept work."""
        return self._current.values()

    def of(self, service: str) -> Sequence[UpstreamRecord]:
        """Return the upstreams of a service."""
        if self._by_service is None:
            self._by_service = {}
            for one in self._current.values():
                self._by_service.setdefault(one.service, []).append(one)
        return self._by_service.get(service, ())

    def apply(self, update: UpstreamsPart | UpstreamsChange) -> None:
        """Apply a part of the whole state, or a change to it, from the leader."""
        match update:
            case UpstreamsPart(begins=begins, complete=complete):
                if begins:
                    self._incoming = {}
                self._incoming.update((one.instance, one) for one in part_records(update))
                if not complete:
                    return
                self._current, self._incoming = self._incoming, {}
            case UpstreamsChange(dropped=dropped):
                for instance in dropped:
                    self._current.pop(instance, None)
                self._current.update((one.instance, one) for one in added_records(update))
        self._by_service = None
        self.mixed = frozenset(update.mixed)
