"""Brings what gateways see of ended upstreams into the log."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from .broken_span import BrokenSpan
from .broken_upstream import BrokenUpstream
from .commands import COMMAND_CODEC, ClearSuspect, Command, ForgetCrashes, NoteUpstreamEnd
from .control_state import ControlState
from .crash_messages import AnsweredRun, BrokenRun, CrashReport

log = logging.getLogger(__name__)
LOOK_MS = 50
"""Small beside the second in which callers come back."""
COLLECT_MS = 150
"""All gateways see an upstream's connections close at once and then ask its port, which takes a
round trip. Blamed by the first report alone, a bystander could reach the third end first."""
BROKEN_FOR_MS = 10_000
"""An upstream that ended is back under a new name, or was silent for long, by then."""
MOST_BROKEN = 1_024
"""Several data centres of upstreams; each takes some KB for ten seconds."""
REMEMBER_ENDS_MS = 3_600_000
"""A request that comes back less than hourly ends too little to be told from chance."""
MOST_LAST_ENDS = 8_192
"""Requests that were running when upstreams ended lately; some 150 bytes each."""
JITTER_MS = 5
"""Reports of two gateways take ways to the leader that differ by some milliseconds."""


class CrashKeeper:
    """What the leader does about requests that end upstreams, during one term.

    A connection that breaks says little: proxies reset them, and upstreams spoil answers. Only
    the end of a process counts, and it is known by a port that refuses connections just after, or
    by another incarnation at the same address. What was running then goes into the log, so that
    neither a new leader nor a restart of all hosts counts anew.
    """

    def __init__(self, replica: Replica, state: ControlState, clock: Clock) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._broken: dict[str, BrokenUpstream] = {}
        self._answered: dict[str, None] = {}
        self._last_end_ms: dict[str, int] = {}
        # Ages count from when this leader first saw an entry, by its own clock: a quarantine
        # may last longer over a change of leader, never shorter.
        self._ends_seen_ms: dict[str, int] = {}
        self._quarantines_seen_ms: dict[str, int] = {}

    def take(self, report: CrashReport) -> None:
        """Take what a gateway saw."""
        match report:
            case BrokenRun():
                self._note_broken(report)
            case AnsweredRun(fingerprint):
                if self._state.crashes.blames(fingerprint):
                    self._answered[fingerprint] = None

    def replaced(self, address: str, instance: str) -> None:
        """Take that `instance` listens at `address` now."""
        for broken_instance, broken in self._broken.items():
            if broken.address == address and broken_instance != instance:
                self._note_ended(broken_instance, broken, "replaced")

    async def run(self) -> None:
        """Commit what is due again and again, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOOK_MS)
            await self.look()

    async def look(self) -> None:
        """Commit what is due."""
        try:
            await self._commit_ends()
            await self._commit_answers()
            await self._commit_expiry()
        except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
            # Nothing was dropped here; the next look, or the next leader's, commits it.
            log.info("crashes: not committed: %r", exc)

    def _note_broken(self, report: BrokenRun) -> None:
        broken = self._broken.get(report.instance)
        if broken is None:
            if len(self._broken) >= MOST_BROKEN:
                log.warning("crashes: over %d broken upstreams, one is left out", MOST_BROKEN)
                return
            broken = BrokenUpstream(report.address, self._clock.now_ms())
            self._broken[report.instance] = broken
        now_ms = broken.last_ms = self._clock.now_ms()
        broken.add(report.fingerprint, now_ms - report.began_ago_ms, now_ms - report.broke_ago_ms)
        if report.refuses:
            self._note_ended(report.instance, broken, "refuses connections")

    def _note_ended(self, instance: str, broken: BrokenUpstream, how: str) -> None:
        if broken.ended_ms is None:
            broken.ended_ms = self._clock.now_ms()
            log.info("crashes: ended instance=%s how=%s", instance, how)

    async def _commit_ends(self) -> None:
        now_ms = self._clock.now_ms()
        for instance, broken in list(self._broken.items()):
            if now_ms > broken.last_ms + BROKEN_FOR_MS:
                del self._broken[instance]
            elif broken.ended_ms is not None and now_ms >= broken.ended_ms + COLLECT_MS:
                await self._commit_end(instance, broken)

    async def _commit_end(self, instance: str, broken: BrokenUpstream) -> None:
        runs = dict(broken.untold)
        suspects = tuple(one for one, run in runs.items() if self._counts(one, run))
        overlapping = tuple(one for one in runs if one not in suspects)
        if runs:
            await self._commit_runs(NoteUpstreamEnd(instance, suspects, overlapping))
        broken.note_told(runs)
        for fingerprint, run in runs.items():
            self._note_last_end(fingerprint, run.broke_ms)

    async def _commit_runs(self, end: NoteUpstreamEnd) -> None:
        before = set(self._state.crashes.quarantined)
        await self._commit(end)
        log.info(
            "crashes: instance=%s ended under contents=%s overlapping=%s",
            end.instance,
            ",".join(end.suspects),
            ",".join(end.overlapping),
        )
        for fingerprint in set(self._state.crashes.quarantined) - before:
            log.warning("crashes: quarantined content=%s", fingerprint)

    def _counts(self, fingerprint: str, run: BrokenSpan) -> bool:
        """Whether a run began after the request met its last end.

        A rack that loses power ends many upstreams under the few requests that everybody sends
        all the time. Counted one by one, these were quarantined at once: the most usual requests
        of all. What ends upstreams by itself does so again after each end.
        """
        last_ms = self._last_end_ms.get(fingerprint)
        return last_ms is None or run.began_ms >= last_ms - JITTER_MS

    def _note_last_end(self, fingerprint: str, broke_ms: int) -> None:
        last_ms = self._last_end_ms.pop(fingerprint, broke_ms)
        self._last_end_ms[fingerprint] = max(last_ms, broke_ms)
        if len(self._last_end_ms) > MOST_LAST_ENDS:
            del self._last_end_ms[next(iter(self._last_end_ms))]

    async def _commit_answers(self) -> None:
        for fingerprint in list(self._answered):
            await self._commit(ClearSuspect(fingerprint))
            log.info("crashes: cleared content=%s, it was answered", fingerprint)
            self._answered.pop(fingerprint, None)

    async def _commit_expiry(self) -> None:
        crashes = self._state.crashes
        ends = self._older(self._ends_seen_ms, crashes.ends, lambda _: REMEMBER_ENDS_MS)
        quarantines = self._older(
            self._quarantines_seen_ms, crashes.quarantined, crashes.quarantine_ms
        )
        if ends or quarantines:
            await self._commit(ForgetCrashes(ends, quarantines))
            log.info("crashes: forgot instances=%s contents=%s", ends, quarantines)

    def _older(
        self, seen_ms: dict[str, int], present: Mapping[str, object], age_ms: Callable[[str], int]
    ) -> tuple[str, ...]:
        now_ms = self._clock.now_ms()
        for gone in seen_ms.keys() - present.keys():
            del seen_ms[gone]
        for name in present:
            seen_ms.setdefault(name, now_ms)
        return tuple(name for name, since_ms in seen_ms.items() if now_ms > since_ms + age_ms(name))

    async def _commit(self, command: Command) -> None:
        await self._replica.propose(COMMAND_CODEC.encode(command))
