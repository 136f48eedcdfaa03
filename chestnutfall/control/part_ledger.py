"""Ends of engines by the prompt parts that they ran, and the parts that are held."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from .crash_messages import QuarantinedParts
from .part_end import PartEnd
from .run_parts import RunParts

MAX_PART_ENDS = 64
"""Ends that are kept; with `MAX_RUNS` of `MAX_KEYS` parts each, the ledger stays under 10 MB, and
far under it, since parts that were answered in full are left out."""
MAX_CLEARED = 1_024
"""Parts kept of one end that are not the cause; about 20 bytes each."""
MAX_ANSWERED = 1_024
"""Answered parts that are kept; about 100 bytes each."""
MAX_HELD = 256
MAX_PART_OFFENDERS = 1_024
HOLD_MS = 60_000
"""Duration of the first hold. Parts that are held without cause are cleared by the first answer to
a request that has only some of them, or after it."""
HOLD_GROWTH_FACTOR = 10
"""Holds last one minute, ten, a hundred, then a day: each costs one engine to find out."""
MAX_HOLD_MS = 24 * 3_600_000


@dataclass(slots=True)
class PartLedger:
    """Prompt parts under which engines ended, and the sets of them that are held.

    Attributes
    ----------
    ends : dict of str to PartEnd
        Ends by the incarnation that ended, oldest first.
    held : dict of str to tuple of str
        Parts that no request may have together, by the name of their set.
    offences : dict of str to int
        How often a set was held, by its name. Kept after the hold is over.
    explained : dict of str to None
        Incarnations whose ends are explained by a hold, oldest first.
    cleared : dict of str to tuple of str
        Parts that an incarnation ran at its end and that are not the cause, oldest first.
    answered : dict of str to None
        Parts that were suspect and then answered in full, oldest first.
    known : dict of str to None
        Parts that were answered shortly before an end that they were in.
    """

    ends: dict[str, PartEnd] = field(default_factory=dict)
    held: dict[str, tuple[str, ...]] = field(default_factory=dict)
    offences: dict[str, int] = field(default_factory=dict)
    explained: dict[str, None] = field(default_factory=dict)
    cleared: dict[str, tuple[str, ...]] = field(default_factory=dict)
    answered: dict[str, None] = field(default_factory=dict)
    known: dict[str, None] = field(default_factory=dict)

    def note_end(
        self,
        instance: str,
        service: str,
        runs: Iterable[RunParts],
        overlapping: Iterable[str],
        unplaced: bool = False,
    ) -> None:
        """Record that an engine of a service ended while it ran these requests."""
        end = self.ends.get(instance, PartEnd(service, unplaced=unplaced)).with_runs(
            self._unexplained(instance, runs), overlapping
        )
        if end.runs:
            self.ends[instance] = end
        _drop_oldest(self.ends, MAX_PART_ENDS)

    def _unexplained(self, instance: str, runs: Iterable[RunParts]) -> Iterator[RunParts]:
        for run in runs:
            parts = self.unexplained(instance, run.parts)
            if parts:
                yield RunParts(run.fingerprint, parts)

    def unexplained(self, instance: str, parts: Iterable[str]) -> tuple[str, ...]:
        """Return the parts that may still be the cause of an end.

        Gateways send the reports of the last seconds again to a new leader, also of ends whose
        cause was found since.
        """
        if instance in self.explained:
            return ()
        cleared = self.cleared.get(instance, ())
        return tuple(part for part in parts if part not in cleared)

    def counts(self) -> Counter[str]:
        """Return the number of separate ends by part."""
        return Counter(
            part for end in self.ends.values() for part in end.parts() - {*end.overlapping}
        )

    def hold(self, parts: tuple[str, ...]) -> tuple[str, ...]:
        """Hold parts that no request may have together, and return the ends that they explain."""
        name = _name(parts)
        if name not in self.held:
            self.held[name] = tuple(sorted(parts))
            self.offences[name] = self.offences.get(name, 0) + 1
        _drop_oldest(self.held, MAX_HELD)
        _drop_oldest(self.offences, MAX_PART_OFFENDERS)
        # An end that ran the parts in different requests has another cause, or one of them alone.
        explained = tuple(one for one, end in self.ends.items() if end.ran_together(parts))
        for instance in explained:
            del self.ends[instance]
            self.cleared.pop(instance, None)
            self.explained[instance] = None
        _drop_oldest(self.explained, MAX_PART_ENDS)
        return explained

    def clear(self, parts: Iterable[str]) -> None:
        """Clear parts that were answered in full; what was held with them is held without."""
        cleared = set(parts)
        self.answered.update(dict.fromkeys(sorted(cleared)))
        _drop_oldest(self.answered, MAX_ANSWERED)
        for instance, end in list(self.ends.items()):
            self.note_cleared(instance, cleared & end.parts())
            self.ends[instance] = end.without(cleared)
            if not self.ends[instance].runs:
                del self.ends[instance]
        for name in [one for one in self.offences if cleared & set(parts_of(one))]:
            self._shrink(name, cleared)

    def note_known(self, parts: Iterable[str]) -> None:
        """Record that parts were answered shortly before an end."""
        self.known.update(dict.fromkeys(parts))
        _drop_oldest(self.known, MAX_ANSWERED)

    def note_cleared(self, instance: str, parts: Collection[str]) -> None:
        """Record that parts that an engine ran at its end are not the cause."""
        if parts and instance not in self.explained:
            known = self.cleared.pop(instance, ())
            self.cleared[instance] = tuple(sorted({*known, *parts}))[:MAX_CLEARED]
        _drop_oldest(self.cleared, MAX_PART_ENDS)

    def _shrink(self, name: str, cleared: set[str]) -> None:
        left = tuple(part for part in parts_of(name) if part not in cleared)
        times = self.offences.pop(name)
        was_held = self.held.pop(name, None) is not None
        if not left:
            return
        self.offences[_name(left)] = max(times, self.offences.get(_name(left), 0))
        if was_held:
            self.held[_name(left)] = left

    def forget(self, instances: Iterable[str], names: Iterable[str]) -> None:
        """Drop old ends, and end holds."""
        for instance in instances:
            self.ends.pop(instance, None)
            self.cleared.pop(instance, None)
        for name in names:
            self.held.pop(name, None)

    def hold_ms(self, name: str) -> int:
        """Return the duration of the hold that the latest offence of a set starts."""
        times = max(self.offences.get(name, 1), 1)
        return int(min(HOLD_MS * HOLD_GROWTH_FACTOR ** (times - 1), MAX_HOLD_MS))

    def quarantined(self) -> tuple[QuarantinedParts, ...]:
        """Return the parts that are held, for the gateways."""
        return tuple(
            QuarantinedParts(parts, self.hold_ms(name)) for name, parts in self.held.items()
        )

    def offenders(self) -> Iterator[frozenset[str]]:
        """Yield the sets that were held before and are not now."""
        for name in self.offences:
            if name not in self.held:
                yield frozenset(parts_of(name))

    def suspects(self) -> set[str]:
        """Return all parts that may end an engine: of ends, and of sets held now or before."""
        named = {part for name in self.offences for part in parts_of(name)}
        return named.union(*(end.parts() for end in self.ends.values()))


_SEPARATOR = "\n"


def _name(parts: Iterable[str]) -> str:
    return _SEPARATOR.join(sorted(parts))


def parts_of(name: str) -> list[str]:
    """Return the parts of a set by its name."""
    return name.split(_SEPARATOR)


def _drop_oldest(entries: dict[str, Any], most: int) -> None:
    while len(entries) > most:
        del entries[next(iter(entries))]
