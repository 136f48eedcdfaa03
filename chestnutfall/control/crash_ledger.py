"""Process ends of upstreams, and the requests that were running at the time."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .crash_messages import QuarantinedRequest, SuspectRequests
from .part_ledger import PartLedger
from .run_parts import RunParts
from .upstream_end import EXPLAINED, UpstreamEnd

ENDS_TO_QUARANTINE = 3
"""A request that was resumed once can be part of two ends by coincidence, one on each of its
upstreams. Each further end takes an upstream from all other callers for seconds."""
ENDS_TO_QUARANTINE_TIED = 5
"""Waiting longer does not separate two requests that share every end and were never answered. From
this count on, refusing both costs less than losing another upstream."""
ENDS_TO_WATCH = 2
"""One more end may quarantine the request, so from here on gateways report each complete answer to
it."""
QUARANTINE_MS = 60_000
"""Duration of the first quarantine. If all upstreams of a service end one after the other, a
frequent request may be quarantined without cause; it is served again within a minute."""
QUARANTINE_GROWTH_FACTOR = 10
"""Quarantines last one minute, ten, a hundred, then a day. A request that does end upstreams takes
about five more on the first day, a third of an ordinary day's losses at the design size."""
MAX_QUARANTINE_MS = 24 * 3_600_000
"""Evidence that is older than a day does not keep a request refused."""
MAX_ENDS = 512
"""A month of ordinary losses; with `MAX_SUSPECTS` requests an end, the ledger stays under 5 MB."""
ENDS_BY_CHANCE = 2
"""Ends that a request may be part of without being suspect, if it was answered before. A frequent
one runs on each engine, and where most of them end at once none answers it in between; one that a
release has made fatal takes two engines more."""
MAX_ANSWERED = 4_096
"""Suspects that were answered before; about 150 bytes each."""
MAX_EVIDENCE = 16
"""Ends kept for a quarantined request; several times those that one takes."""
MAX_QUARANTINED = 1_024
MAX_WATCHED = 256
"""Gateways receive the whole lists: under 50 KB, and usually a few entries."""
MAX_OFFENDERS = 4_096
"""Requests whose `offences` are kept after their quarantine; about 200 bytes each."""


@dataclass(slots=True)
class CrashLedger:
    """Process ends of upstreams, and the requests that are quarantined for causing them.

    An end makes every request that was running a suspect. A request that causes ends is part of
    each end that it causes; other requests are part of one by coincidence. So a request that is
    part of at least `ENDS_TO_QUARANTINE` ends, and of more than each request that ran together with
    it, is quarantined. Requests that tie are quarantined together after `ENDS_TO_QUARANTINE_TIED`
    ends. A quarantined request explains its ends, and the other requests are cleared of them. A
    request that was ever answered in full is cleared of all ends, because one that ends every
    upstream is never answered.

    Attributes
    ----------
    ends : dict of str to UpstreamEnd
        Ends by the incarnation that ended, oldest first.
    quarantined : dict of str to None
        Fingerprints of the requests that gateways must not send, oldest first.
    offences : dict of str to int
        How often a fingerprint was quarantined. Kept after the quarantine ended.
    evidence : dict of str to tuple of str
        The latest ends for which a fingerprint is quarantined, by incarnation.
    answered : dict of str to None
        Suspects that were answered in full before an end.
    changes : int
        Number of commands that changed the ledger.
    parts : PartLedger
        The same ends by the prompt parts that the upstreams were running.
    """

    ends: dict[str, UpstreamEnd] = field(default_factory=dict)
    quarantined: dict[str, None] = field(default_factory=dict)
    offences: dict[str, int] = field(default_factory=dict)
    evidence: dict[str, tuple[str, ...]] = field(default_factory=dict)
    answered: dict[str, None] = field(default_factory=dict)
    changes: int = 0
    parts: PartLedger = field(default_factory=PartLedger)

    def note_end(
        self,
        instance: str,
        suspects: Iterable[str],
        overlapping: Iterable[str] = (),
        answered: Iterable[str] = (),
    ) -> None:
        """Record that an upstream ended while it ran these requests.

        May be called again for the same instance to add requests.

        Parameters
        ----------
        answered : iterable of str
            Those that were answered in full at some time before.
        """
        self.answered.update(dict.fromkeys(answered))
        _drop_oldest(self.answered, MAX_ANSWERED)
        end = self.ends.get(instance, UpstreamEnd())
        if end.explained:
            return
        self.changes += 1
        end = self.ends[instance] = end.with_requests(suspects, overlapping)
        _drop_oldest(self.ends, MAX_ENDS)
        # An offender, a request that was quarantined before, may end one more upstream if it was in
        # flight when its quarantine began or arrives after that quarantine ended. If the other
        # requests that ran there were blamed too, they would approach a quarantine of their own;
        # and if an offender needed three ends for each new quarantine, it would take three more
        # upstreams each time.
        ran = (*end.suspects, *end.overlapping)
        offenders = [one for one in ran if one in self.offences]
        for fingerprint in offenders or self._to_quarantine(end):
            self._quarantine(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Clear a request of all ends and of its quarantine, because it was answered in full."""
        self.changes += 1
        self._release(fingerprint)
        self.offences.pop(fingerprint, None)
        for instance, end in self.ends.items():
            if end.ran(fingerprint):
                self.ends[instance] = end.without(fingerprint)

    def note_parts(
        self,
        instance: str,
        service: str,
        runs: Iterable[RunParts],
        overlapping: Iterable[str],
        unplaced: bool = False,
    ) -> None:
        """Record the suspect prompt parts of the requests that an upstream ran at its end."""
        self.changes += 1
        self.parts.note_end(instance, service, runs, overlapping, unplaced)

    def hold_parts(self, parts: tuple[str, ...]) -> None:
        """Hold prompt parts; the ends that they explain are no evidence against requests.

        A request that was resumed from one of these engines to the next may have been quarantined
        for them before the part was found.
        """
        self.changes += 1
        explained = self.parts.hold(parts)
        for instance in explained:
            if instance in self.ends:
                self.ends[instance] = EXPLAINED
        for fingerprint, instances in list(self.evidence.items()):
            left = tuple(one for one in instances if one not in explained)
            if left != instances and len(left) < ENDS_TO_QUARANTINE:
                self._release(fingerprint)
                self._drop_offence(fingerprint)

    def clear_parts(self, parts: Iterable[str]) -> None:
        """Clear prompt parts, because requests with them were answered in full."""
        self.changes += 1
        self.parts.clear(parts)

    def forget_parts(self, instances: Iterable[str], names: Iterable[str]) -> None:
        """Drop old ends by prompt parts, and end holds."""
        self.changes += 1
        self.parts.forget(instances, names)

    def forget(self, instances: Iterable[str], fingerprints: Iterable[str]) -> None:
        """Drop old ends and quarantines."""
        self.changes += 1
        for instance in instances:
            self.ends.pop(instance, None)
        for fingerprint in fingerprints:
            self._release(fingerprint)

    def implicates(self, fingerprint: str) -> bool:
        """Whether a complete answer to the request would change the ledger."""
        return fingerprint in self.offences or any(
            end.ran(fingerprint) for end in self.ends.values()
        )

    def suspects(self) -> SuspectRequests:
        """Return the watched and quarantined requests, for the gateways."""
        ends = Counter(one for end in self.ends.values() for one in end.suspects)
        near = (one for one, count in ends.most_common() if count >= ENDS_TO_WATCH)
        # A request whose quarantine is over is quarantined again by the next end that it is part
        # of, whatever caused that, unless it is known to have been answered in between.
        released = (one for one in reversed(self.offences) if one not in self.quarantined)
        watched = itertools.islice(itertools.chain(near, released), MAX_WATCHED)
        quarantined = (QuarantinedRequest(one, self.quarantine_ms(one)) for one in self.quarantined)
        return SuspectRequests(
            self.changes, tuple(watched), tuple(quarantined), self.parts.quarantined()
        )

    def quarantine_ms(self, fingerprint: str) -> int:
        """Return the duration of the quarantine that the latest offence of a request starts."""
        times = max(self.offences.get(fingerprint, 1), 1)
        return int(min(QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR ** (times - 1), MAX_QUARANTINE_MS))

    def _to_quarantine(self, end: UpstreamEnd) -> list[str]:
        """Return the requests of one end that have to be quarantined now."""
        wanted = set(end.suspects)
        ends = Counter(one for end in self.ends.values() for one in end.suspects if one in wanted)
        ends.subtract(dict.fromkeys(wanted.intersection(self.answered), ENDS_BY_CHANCE))
        most = max(ends.values(), default=0)
        blamed = [one for one in end.suspects if ends[one] == most]
        # Below `ENDS_TO_QUARANTINE_TIED` ends, tied requests are not quarantined: an innocent one
        # may have been resumed together with the cause from engine to engine, and the next end may
        # include only the cause.
        sure = most >= ENDS_TO_QUARANTINE and len(blamed) == 1
        return blamed if sure or most >= ENDS_TO_QUARANTINE_TIED else []

    def _quarantine(self, fingerprint: str) -> None:
        if fingerprint not in self.quarantined:
            self.quarantined[fingerprint] = None
            self.offences[fingerprint] = self.offences.get(fingerprint, 0) + 1
        ran = [instance for instance, end in self.ends.items() if end.ran(fingerprint)]
        known = self.evidence.get(fingerprint, ())
        self.evidence[fingerprint] = (*known, *ran)[-MAX_EVIDENCE:]
        for instance in ran:
            self.ends[instance] = EXPLAINED
        while len(self.quarantined) > MAX_QUARANTINED:
            self._release(next(iter(self.quarantined)))
        _drop_oldest(self.offences, MAX_OFFENDERS)

    def _release(self, fingerprint: str) -> None:
        self.quarantined.pop(fingerprint, None)
        self.evidence.pop(fingerprint, None)

    def _drop_offence(self, fingerprint: str) -> None:
        times = self.offences.pop(fingerprint, 0) - 1
        if times > 0:
            self.offences[fingerprint] = times


def _drop_oldest(entries: dict[str, Any], most: int) -> None:
    while len(entries) > most:
        del entries[next(iter(entries))]
