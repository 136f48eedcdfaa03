"""Which parts of prompts are to blame for the ends of engines."""

from __future__ import annotations

import math
from collections import Counter

from .part_end import PartEnd
from .part_ledger import PartLedger

ENDS_TO_HOLD = 2
"""Separate ends after which parts are held. Since requests with a suspect part run on one engine at
a time, a second end under the same one is seldom a coincidence; each further one takes an engine
from all other callers."""
ENDS_BY_CHANCE = 2
"""Ends that a part may be in without being suspect, if it was answered in full after another end. A
common one runs on most engines; one that a release has made fatal takes two engines more."""
ENDS_TO_HOLD_UNSURE = 3
"""The same where two ends tell less. If several requests that have the part were in all ends, each
may be the cause by itself; but requests with a suspect part share an engine, so their next ends
tell them no better apart. If no leader placed what ran, chance brings sound parts into two ends."""
MIN_OTHER_ANSWERS = 3
"""Answers without the parts between their first end and the hold. Where nothing is answered, the
service as a whole fails, and a part that most requests have would be held for that."""


def parts_to_hold(ledger: PartLedger, instance: str, other_answers: int) -> tuple[str, ...] | None:
    """Return the parts that explain the end of `instance` and earlier ones; None if none do.

    Parts are to blame together if the same requests have them: then nothing tells them apart, and
    refusing only requests with all of them costs others nothing. What remains unclear is left to
    the next end: the parts of different requests, and a single request that explains all ends.

    Parameters
    ----------
    other_answers : int
        Answers without the most suspect parts since their first end.
    """
    end = ledger.ends.get(instance)
    if end is None:
        return None
    for offender in ledger.offenders():
        # One that was held before needs no second end: it would take one engine more each time.
        if any(offender <= set(run.parts) for run in end.runs):
            return tuple(sorted(offender))
    blamed = _most_suspect(ledger, end)
    if not blamed or other_answers < MIN_OTHER_ANSWERS:
        return None
    return tuple(sorted(blamed))


def most_suspect_parts(ledger: PartLedger, instance: str) -> frozenset[str]:
    """Return the parts of one end that were in most separate ends, if the same requests have them.

    Empty if there are fewer than `ENDS_TO_HOLD`, or different requests have them, at this end or at
    another one.
    """
    end = ledger.ends.get(instance)
    return _most_suspect(ledger, end) if end is not None else frozenset()


def _most_suspect(ledger: PartLedger, end: PartEnd) -> frozenset[str]:
    counts = ledger.counts()
    counts.subtract(dict.fromkeys(ledger.answered, ENDS_BY_CHANCE))
    # A common part runs on most engines, also where a rare one ends them.
    ranks = Counter(counts)
    ranks.subtract(dict.fromkeys(ledger.known, ENDS_BY_CHANCE))
    # A part that was in fewer ends than another is not to blame, even where one request may be the
    # cause of those: chance brought it there.
    most = max((ranks[part] for part in end.parts()), default=0)
    worst = {
        part
        for part in end.parts()
        if ranks[part] == most and counts[part] >= _ends_to_hold(ledger, part)
    }
    runs = (run for one in ledger.ends.values() for run in one.runs)
    by_run = {frozenset(worst.intersection(run.parts)) for run in runs} - {frozenset()}
    return next(iter(by_run)) if len(by_run) == 1 else frozenset()


def _ends_to_hold(ledger: PartLedger, part: str) -> float:
    """Return the separate ends after which a part is held, as far as requests tell."""
    ends = [end for end in ledger.ends.values() if part in end.parts()]
    requests = [{run.fingerprint for run in end.runs if part in run.parts} for end in ends]
    in_all = len(set.intersection(*requests))
    if in_all == 1:
        # That request may be the cause by itself.
        return math.inf
    is_unsure = in_all > 1 or any(end.unplaced for end in ends)
    return ENDS_TO_HOLD_UNSURE if is_unsure else ENDS_TO_HOLD
