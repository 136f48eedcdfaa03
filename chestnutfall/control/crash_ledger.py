"""Which requests upstreams were running when they ended."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .crash_messages import QuarantinedRequest, SuspectRequests
from .upstream_end import EXPLAINED, UpstreamEnd

ENDS_TO_QUARANTINE = 3
"""A request that was resumed once may meet two ends by chance, one on each of its upstreams. Each
end more takes an upstream from all other callers for seconds."""
ENDS_WITHOUT_DOUBT = 5
"""Two requests that share every end, and none ever answered, are not told apart by waiting longer;
by now each of them is worth less than the next upstream."""
ENDS_TO_WATCH = 2
"""One end more and it may be quarantined: from here on an answer anywhere must be known."""
QUARANTINE_MS = 60_000
"""Whoever was refused without cause, since all upstreams of a service ended one after the other
under what everybody asks for, is served again within a minute."""
LONGER_EACH_TIME = 10
"""One minute, ten, a hundred, then a day: what does end upstreams takes about five more on the
first day, a third of an ordinary day's losses at the size we design for."""
LONGEST_MS = 24 * 3_600_000
"""Nothing is refused for longer on what was seen a day ago."""
MOST_ENDS = 512
"""A month of ordinary losses; with the bound on requests this keeps the ledger under 5 MB."""
MOST_QUARANTINED = 1_024
MOST_WATCHED = 256
"""Gateways are told whole lists: under 50 KB, and in practice a few lines."""
MOST_OFFENDERS = 4_096
"""Kept over quarantines that ended, some 200 bytes each."""


@dataclass(slots=True)
class CrashLedger:
    """Ends of upstreams, and the requests that are to blame for them.

    An end blames every request that was running. The one that ends what runs it is in every end
    of its own; the others meet it by chance. So the first that is in three of them, and in more
    than each request beside it, explains these ends, and the others are cleared of them. A request
    that was ever answered in full is cleared of all: what ends each upstream is never answered.

    Attributes
    ----------
    ends : dict of str to UpstreamEnd
        By the incarnation that ended, oldest first.
    quarantined : dict of str to None
        Fingerprints that no gateway sends, oldest first.
    offences : dict of str to int
        How often a fingerprint was quarantined, also after that ended.
    changes : int
        Counts the commands that changed something.
    """

    ends: dict[str, UpstreamEnd] = field(default_factory=dict)
    quarantined: dict[str, None] = field(default_factory=dict)
    offences: dict[str, int] = field(default_factory=dict)
    changes: int = 0

    def note_end(
        self, instance: str, suspects: Iterable[str], overlapping: Iterable[str] = ()
    ) -> None:
        """Take that an upstream ended while it ran these requests, or some more of them."""
        end = self.ends.get(instance, UpstreamEnd())
        if end.explained:
            return
        self.changes += 1
        end = self.ends[instance] = end.with_more(suspects, overlapping)
        _drop_oldest(self.ends, MOST_ENDS)
        # What was on its way when a quarantine began, or comes after it, may end one upstream
        # more. If the requests beside it were blamed for that, they would come ever nearer to a
        # quarantine of their own; and if it had three ends free each time, it would take three.
        ran = (*end.suspects, *end.overlapping)
        offenders = [one for one in ran if one in self.offences]
        for fingerprint in offenders or self._to_blame(end):
            self._quarantine(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Take that an upstream answered the request in full."""
        self.changes += 1
        self.quarantined.pop(fingerprint, None)
        self.offences.pop(fingerprint, None)
        for instance, end in self.ends.items():
            if end.ran(fingerprint):
                self.ends[instance] = end.without(fingerprint)

    def forget(self, instances: Iterable[str], fingerprints: Iterable[str]) -> None:
        """Drop ends and quarantines that are old."""
        self.changes += 1
        for instance in instances:
            self.ends.pop(instance, None)
        for fingerprint in fingerprints:
            self.quarantined.pop(fingerprint, None)

    def blames(self, fingerprint: str) -> bool:
        """Whether an answer to the request would change anything."""
        return fingerprint in self.offences or any(
            end.ran(fingerprint) for end in self.ends.values()
        )

    def suspects(self) -> SuspectRequests:
        """What gateways must know."""
        ends = Counter(one for end in self.ends.values() for one in end.suspects)
        near = (one for one, count in ends.most_common() if count >= ENDS_TO_WATCH)
        # One whose quarantine is over is held again at its next end, whoever causes that, unless
        # it is known that it was answered meanwhile.
        paroled = (one for one in reversed(self.offences) if one not in self.quarantined)
        watched = itertools.islice(itertools.chain(near, paroled), MOST_WATCHED)
        quarantined = (QuarantinedRequest(one, self.quarantine_ms(one)) for one in self.quarantined)
        return SuspectRequests(self.changes, tuple(watched), tuple(quarantined))

    def quarantine_ms(self, fingerprint: str) -> int:
        """How long a quarantine lasts that begins with the last offence."""
        times = max(self.offences.get(fingerprint, 1), 1)
        return int(min(QUARANTINE_MS * LONGER_EACH_TIME ** (times - 1), LONGEST_MS))

    def _to_blame(self, end: UpstreamEnd) -> list[str]:
        """Those of the requests of one end that are to be quarantined now."""
        wanted = set(end.suspects)
        ends = Counter(one for end in self.ends.values() for one in end.suspects if one in wanted)
        most = max(ends.values(), default=0)
        blamed = [one for one in end.suspects if ends[one] == most]
        # A tie is left open: the request beside the guilty one was resumed with it from engine to
        # engine, and only one of the two is in the next end.
        sure = most >= ENDS_TO_QUARANTINE and len(blamed) == 1
        return blamed if sure or most >= ENDS_WITHOUT_DOUBT else []

    def _quarantine(self, fingerprint: str) -> None:
        if fingerprint not in self.quarantined:
            self.quarantined[fingerprint] = None
            self.offences[fingerprint] = self.offences.get(fingerprint, 0) + 1
        _drop_oldest(self.quarantined, MOST_QUARANTINED)
        _drop_oldest(self.offences, MOST_OFFENDERS)
        for instance, end in self.ends.items():
            if end.ran(fingerprint):
                self.ends[instance] = EXPLAINED


def _drop_oldest(entries: dict[str, Any], most: int) -> None:
    while len(entries) > most:
        del entries[next(iter(entries))]
