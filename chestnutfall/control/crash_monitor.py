"""Detects process ends of upstreams from gateway reports, and commits them to the log."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..placement.suspect_parts import SuspectParts
from .broken_upstream import BrokenUpstream
from .commands import (
    ClearParts,
    ClearSuspect,
    Command,
    ForgetCrashes,
    ForgetParts,
    HoldParts,
    NoteUpstreamEnd,
    encode_command,
)
from .control_state import ControlState
from .crash_messages import AnsweredParts, AnsweredRun, BrokenRun, CrashReport
from .first_seen import FirstSeen
from .last_ends import LastEnds
from .part_monitor import PartMonitor
from .run_interval import RunInterval

log = logging.getLogger(__name__)
POLL_MS = 50
"""Short compared with the second after which callers retry."""
REPORT_COLLECTION_MS = 150
"""How long reports are collected after an end is detected. All gateways see an upstream's
connections close at the same time and then probe its port, which takes a round trip. If the first
report alone counted, an innocent request could reach the quarantine threshold before the one that
causes the ends."""
BROKEN_RETENTION_MS = 10_000
"""By then, an upstream that ended has been restarted under a new name or has been silent for
long."""
MAX_BROKEN_UPSTREAMS = 1_024
"""Enough for the upstreams of several data centres; each entry takes some KB for ten seconds."""
UPSTREAM_END_RETENTION_MS = 3_600_000
"""A request that causes an end less than once an hour can't be told from coincidence."""
MAX_LOGGED_PARTS = 16
MAX_LOGGED_SUSPECTS = 64


class CrashMonitor:
    """Tracks, during one leader term, the requests that were running when upstreams ended.

    A broken connection alone proves little: proxies reset connections, and upstreams send malformed
    answers. Only the end of a process counts. It is detected by a port that refuses connections
    directly after the break, or by another incarnation at the same address. The requests that were
    running are then committed to the log, so that the counts survive a change of leader and a
    restart of all hosts.

    Parameters
    ----------
    suspect_parts : SuspectParts or None
        What placement knows of suspect prompt parts; None where prompts have none.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        clock: Clock,
        suspect_parts: SuspectParts | None = None,
    ) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._broken: dict[str, BrokenUpstream] = {}
        self._began_ms = clock.now_ms()
        self._answered: dict[str, None] = {}
        self._last_ends = LastEnds()
        self._ends_seen, self._quarantines_seen = FirstSeen(clock), FirstSeen(clock)
        if suspect_parts is None:
            suspect_parts = SuspectParts()
        self._parts = PartMonitor(state, suspect_parts, clock)

    def handle_report(self, report: CrashReport) -> None:
        """Process a gateway's report of a broken or a complete answer."""
        match report:
            case BrokenRun():
                self._note_broken(report)
            case AnsweredParts(parts, ago_ms):
                self._parts.answered(parts, self._clock.now_ms() - ago_ms)
            case AnsweredRun(fingerprint):
                if self._state.crashes.implicates(fingerprint):
                    self._answered[fingerprint] = None

    def told_suspects(self, parts: tuple[str, ...]) -> None:
        """Suspect the prompt parts that a gateway has from the last leader, or saw in an end."""
        if parts:
            log.info("crashes: told of suspect parts=%s", ",".join(parts[:MAX_LOGGED_SUSPECTS]))
        self._parts.told_suspects(parts)

    def address_reused(self, address: str, instance: str) -> None:
        """Note that `instance` listens at `address`, so any other incarnation there has ended."""
        for broken_instance, broken in self._broken.items():
            if broken.address == address and broken_instance != instance:
                self._note_ended(broken_instance, broken, "replaced")

    async def run(self) -> None:
        """Call `commit_due` periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_MS)
            await self.commit_due()

    async def commit_due(self) -> None:
        """Commit the process ends, cleared requests and expired entries that are due.

        A failed commit is logged and tried again on the next call.
        """
        try:
            await self._commit_ends()
            await self._commit_answers()
            await self._commit_expiry()
        except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
            # No entry was dropped; the next call, or the next leader, commits it.
            log.info("crashes: not committed: %r", exc)

    def _note_broken(self, report: BrokenRun) -> None:
        broken = self._broken.get(report.instance)
        if broken is None:
            if len(self._broken) >= MAX_BROKEN_UPSTREAMS:
                log.warning(
                    "crashes: over %d broken upstreams, a report is dropped", MAX_BROKEN_UPSTREAMS
                )
                return
            broken = BrokenUpstream(report.address, self._clock.now_ms())
            self._broken[report.instance] = broken
        now_ms = broken.last_ms = self._clock.now_ms()
        answered_ago_ms = report.answered_ago_ms
        run = RunInterval(
            now_ms - report.began_ago_ms,
            now_ms - report.broke_ago_ms,
            None if answered_ago_ms is None else now_ms - answered_ago_ms,
        )
        broken.add(report.fingerprint, run, report.parts, report.answered_parts)
        if report.rejecting:
            broken.note_rejecting(run.broke_ms)
        if report.refuses:
            self._note_ended(report.instance, broken, "refuses connections")
        if broken.ended_ms is not None:
            self._suspect_parts(report.instance, broken)
        elif report.is_checked or broken.ended_by_rejections:
            self._parts.run_settled(report.instance, report.parts)
        else:
            named = ",".join(report.parts[:MAX_LOGGED_PARTS])
            log.info("crashes: in question instance=%s parts=%s", report.instance, named)
            self._parts.run_in_question(
                report.instance, report.parts, run.broke_ms, broken.answered_parts
            )

    def _note_ended(self, instance: str, broken: BrokenUpstream, how: str) -> None:
        if broken.ended_ms is None:
            broken.ended_ms = self._clock.now_ms()
            log.info("crashes: ended instance=%s how=%s", instance, how)
            self._suspect_parts(instance, broken)

    def _suspect_parts(self, instance: str, broken: BrokenUpstream) -> None:
        for parts in broken.parts.values():
            self._parts.run_settled(instance, parts)
        if broken.ended_by_rejections:
            return
        for fingerprint, run in broken.uncommitted.items():
            self._parts.run_ended(instance, broken.parts.get(fingerprint, ()), run.broke_ms)

    async def _commit_ends(self) -> None:
        now_ms = self._clock.now_ms()
        for instance, broken in list(self._broken.items()):
            if now_ms > broken.last_ms + BROKEN_RETENTION_MS:
                del self._broken[instance]
            elif broken.ended_ms is not None and now_ms >= broken.ended_ms + REPORT_COLLECTION_MS:
                await self._commit_end(instance, broken, broken.ended_ms)

    async def _commit_end(self, instance: str, broken: BrokenUpstream, ended_ms: int) -> None:
        runs = dict(broken.uncommitted)
        # An overload ends one such upstream after the other while they all run the most frequent
        # requests. One that ends upstreams by itself also does so where nothing was rejected.
        if broken.ended_by_rejections:
            log.info("crashes: instance=%s ended after rejections", instance)
            broken.mark_committed(runs)
            return
        await self._clear_answered(runs)
        suspects = tuple(one for one, run in runs.items() if self._last_ends.is_separate(one, run))
        overlapping = tuple(one for one in runs if one not in suspects)
        found = self._parts.findings(broken, runs)
        if runs:
            record = self._state.roster.records.get(instance)
            service = record.service if record is not None else ""
            await self._commit_runs(
                NoteUpstreamEnd(
                    instance,
                    suspects,
                    overlapping,
                    service,
                    found.runs,
                    found.overlapping,
                    found.cleared,
                    tuple(one for one, run in runs.items() if run.answered_ms is not None),
                    # Without a leader, or under one that ended before it stored the end.
                    all(run.broke_ms < self._began_ms for run in runs.values()),
                    found.known,
                )
            )
        broken.mark_committed(runs)
        self._parts.note_committed(broken, found.runs, runs)
        await self._commit_hold(instance, ended_ms)
        for fingerprint, run in runs.items():
            self._last_ends.note(fingerprint, run)
            _log_parts(instance, fingerprint, broken.parts.get(fingerprint, ()))

    async def _clear_answered(self, runs: Mapping[str, RunInterval]) -> None:
        """Clear the requests that were answered in full after the last end that they were part of.

        Gateways report answers to watched requests by themselves, but learn which these are only
        after a second end. A frequent request may not be answered between that end and a third one.
        """
        for fingerprint, run in runs.items():
            last_ms = self._last_ends.last_ms(fingerprint)
            if last_ms is None or run.answered_ms is None or run.answered_ms <= last_ms:
                continue
            if self._state.crashes.implicates(fingerprint):
                await self._clear(fingerprint)

    async def _clear(self, fingerprint: str) -> None:
        await self._commit(ClearSuspect(fingerprint))
        log.info("crashes: cleared content=%s after a complete answer", fingerprint)

    async def _commit_runs(self, end: NoteUpstreamEnd) -> None:
        before = set(self._state.crashes.quarantined)
        await self._commit(end)
        log.info(
            "crashes: instance=%s ended while running contents=%s overlapping=%s",
            end.instance,
            ",".join(end.suspects),
            ",".join(end.overlapping),
        )
        for fingerprint in set(self._state.crashes.quarantined) - before:
            log.warning("crashes: quarantined content=%s", fingerprint)

    async def _commit_hold(self, instance: str, ended_ms: int) -> None:
        parts = self._parts.to_hold(instance, ended_ms)
        if parts is None:
            return
        await self._commit(HoldParts(parts))
        self._parts.update_holds()
        self._parts.drop_explained(
            part for broken in self._broken.values() for part in broken.uncommitted_parts()
        )
        log.warning("crashes: held parts=%s after instance=%s", ",".join(parts), instance)

    async def _commit_answers(self) -> None:
        for fingerprint in list(self._answered):
            await self._clear(fingerprint)
            self._answered.pop(fingerprint, None)
        cleared = self._parts.take_cleared()
        if cleared:
            await self._commit(ClearParts(cleared))
            self._parts.update_holds()
            log.info("crashes: cleared parts=%s after complete answers", ",".join(cleared))

    async def _commit_expiry(self) -> None:
        crashes = self._state.crashes
        ends = self._ends_seen.older_than(crashes.ends, lambda _: UPSTREAM_END_RETENTION_MS)
        quarantines = self._quarantines_seen.older_than(crashes.quarantined, crashes.quarantine_ms)
        if ends or quarantines:
            await self._commit(ForgetCrashes(ends, quarantines))
            log.info("crashes: dropped instances=%s contents=%s", ends, quarantines)
        part_ends, holds = self._parts.expired()
        if part_ends or holds:
            await self._commit(ForgetParts(part_ends, holds))
            self._parts.update_holds()
            log.info("crashes: dropped instances=%s, held parts=%s", part_ends, holds)

    async def _commit(self, command: Command) -> None:
        await self._replica.propose(encode_command(command))


def _log_parts(instance: str, fingerprint: str, parts: tuple[str, ...]) -> None:
    if parts:
        named = ",".join(parts[:MAX_LOGGED_PARTS])
        log.info("crashes: instance=%s content=%s parts=%s", instance, fingerprint, named)
