"""All incarnations of upstreams that announced themselves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from .upstream_record import UpstreamRecord

MAX_TOMBSTONES = 4096
"""A delayed announcement is at most minutes old; 4,096 departures cover hours of a busy day."""


@dataclass
class UpstreamRoster:
    """Records of upstreams, and tombstones of the incarnations that left.

    Attributes
    ----------
    records : dict of str to UpstreamRecord
        Records by instance.
    tombstones : dict of str to None
        Instances that left, oldest first. They must not be added again.
    replaced : dict of str to UpstreamRecord
        Incarnations that started again under their name with another build, by instance.
    """

    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    tombstones: dict[str, None] = field(default_factory=dict)
    replaced: dict[str, UpstreamRecord] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # Each new upstream looks up the other incarnations of its name. After an outage thousands
        # come back together, and without this index the searches keep every controller busy for
        # seconds.
        self._by_name: dict[str, set[str]] = {}
        self._builds: dict[str, Counter[str]] = {}
        for record in self.records.values():
            self._index(record)
        for record in self.all_known():
            self._count_build(record)

    def _index(self, record: UpstreamRecord) -> None:
        self._by_name.setdefault(record.announced_name, set()).add(record.instance)

    def _count_build(self, record: UpstreamRecord, count: int = 1) -> None:
        builds = self._builds.setdefault(record.service, Counter())
        builds[record.build] += count
        if not builds[record.build]:
            del builds[record.build]
        if not builds:
            del self._builds[record.service]

    def add(self, record: UpstreamRecord) -> None:
        """Add a new incarnation, unless it left before.

        Earlier incarnations of the same name are removed, and get tombstones.
        """
        # An announcement can be delayed until after its sender left. Without tombstones, an
        # upstream that announced that it accepts no work would get some. They outlive such a delay.
        if self.is_gone(record):
            return
        for earlier in self._incarnations(record.announced_name):
            if earlier.started_ms < record.started_ms:
                # The restarted engine lost all adapters that the earlier incarnation held. Work for
                # that incarnation would reach the restarted engine at the same address, which
                # refuses it.
                self._add_tombstone(earlier.instance)
                self.forget(earlier.instance)
                if earlier.build != record.build:
                    self.replaced[earlier.instance] = earlier
                    self._count_build(earlier)
        known = self.records.get(record.instance)
        if known is None or not known.leaving:
            if known is not None:
                self._count_build(known, -1)
            self.records[record.instance] = record
            self._index(record)
            self._count_build(record)

    def is_gone(self, record: UpstreamRecord) -> bool:
        """Whether this incarnation left, or a later start of the same upstream is known."""
        if record.instance in self.tombstones:
            return True
        # While this incarnation is listed, no later start of the upstream is known: `add` removes
        # the earlier incarnations when it adds a later one.
        return record.instance not in self.records and any(
            one.started_ms > record.started_ms for one in self._incarnations(record.announced_name)
        )

    def newest_incarnation(self, name: str) -> UpstreamRecord | None:
        """Return the latest known start of the upstream with this announced name, or None."""
        return max(self._incarnations(name), key=lambda one: one.started_ms, default=None)

    def _incarnations(self, name: str) -> list[UpstreamRecord]:
        return [self.records[instance] for instance in sorted(self._by_name.get(name, ()))]

    def mark_leaving(self, instance: str) -> None:
        """Mark an incarnation as leaving for good; it gets no new work."""
        self._add_tombstone(instance)
        if instance in self.records:
            self.records[instance] = replace(self.records[instance], leaving=True)

    def all_known(self) -> Iterator[UpstreamRecord]:
        """Yield the records that are not forgotten, also of incarnations that ended or left."""
        yield from self.records.values()
        yield from self.replaced.values()

    def mixed_services(self) -> tuple[str, ...]:
        """Return the services whose known incarnations have had several builds, sorted.

        An incarnation is known for longer after its end than its streams can be taken up.
        """
        return tuple(sorted(name for name, builds in self._builds.items() if len(builds) > 1))

    def forget(self, instance: str) -> None:
        """Drop the record of an incarnation, without a tombstone."""
        replaced = self.replaced.pop(instance, None)
        if replaced is not None:
            self._count_build(replaced, -1)
        record = self.records.pop(instance, None)
        if record is None:
            return
        self._count_build(record, -1)
        instances = self._by_name[record.announced_name]
        instances.discard(instance)
        if not instances:
            del self._by_name[record.announced_name]

    def _add_tombstone(self, instance: str) -> None:
        self.tombstones[instance] = None
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
