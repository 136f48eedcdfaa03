"""Which gateways reach which upstreams, and who helps whom with an upstream."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

from ..clock import Clock
from ..paths.helper_ring import RingGateway, dealt_out, in_order
from ..paths.leader_messages import CanHelp, HelpersByUpstream, LinkReport, UpstreamHelpers
from ..placement.reachability import Reachability
from .gateway_session import GatewaySession

log = logging.getLogger(__name__)
SEND_INTERVAL_MS = 100
"""Reports of this time are answered together: links of a data centre fail at the same moment."""
CONFIRMED_MS = 300
"""How long no gateway must have reached an upstream before it counts as reached by none. Gateways
that were all busy for a moment try their links again within this time."""
MAX_PAIRS_A_ROUND = 2_000
"""Cut links whose helpers are named in one round, which takes the leader some 20 ms; it also places
requests."""
MAX_INSTANCES = 4_096
"""Upstreams with cut links that are kept; further reports are dropped."""


class _HasReach(Protocol):
    """An engine, as far as this module knows it."""

    reach: Reachability


class LinkDirectory:
    """Cut links by upstream and gateway, during one leader term.

    A gateway that reports that it does not reach an upstream is sent the addresses of others that
    do. Each gateway that has not reported the same counts as one of these: it reports as soon as it
    has tried.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sessions: dict[GatewaySession, bool] = {}
        self._cut: dict[str, set[GatewaySession]] = {}
        self._names: dict[str, set[str]] = {}
        self._engines: Mapping[str, _HasReach] = {}
        self._ring: list[tuple[GatewaySession, RingGateway]] = []
        # Helpers by instance and gateway, as last sent.
        self._sent: dict[str, dict[GatewaySession, tuple[str, ...]]] = {}
        # Upstreams that no gateway reaches: since which clock time, until that is confirmed.
        self._unconfirmed_ms: dict[str, int] = {}
        self._lost: set[str] = set()
        self._due: dict[str, None] = {}
        self._due_ms = 0

    @property
    def cut_links(self) -> int:
        """Number of pairs of a gateway and an upstream that don't reach each other."""
        return sum(len(sessions) for sessions in self._cut.values())

    @property
    def waiting(self) -> int:
        """Number of upstreams whose helpers have to be named."""
        return len(self._due)

    def add(self, session: GatewaySession) -> None:
        """Add a gateway that has connected."""
        self._sessions[session] = True
        self._members_changed()

    def remove(self, session: GatewaySession) -> None:
        """Remove a gateway whose session ended, as a helper as well."""
        self._sessions.pop(session, None)
        for instance in list(self._cut):
            self._note(session, instance, is_cut=False)
        for sent in self._sent.values():
            sent.pop(session, None)
        self._members_changed()

    def _members_changed(self) -> None:
        by_name = {
            session.gateway: (
                session,
                RingGateway(session.gateway, session.helper_address, session.data_centre, stays),
            )
            for session, stays in self._sessions.items()
        }
        self._ring = [by_name[one.name] for one in in_order(one for _, one in by_name.values())]
        self._due.update(dict.fromkeys(self._cut))

    def record(self, session: GatewaySession, report: LinkReport) -> None:
        """Record which upstreams a gateway does not reach, and which it reaches again."""
        if session not in self._sessions:
            return
        for instance in report.cut:
            self._note(session, instance, is_cut=True)
        for instance in report.restored:
            self._note(session, instance, is_cut=False)
        log.info(
            "links: gateway=%s cut=%d restored=%d in_all=%d",
            session.gateway,
            len(report.cut),
            len(report.restored),
            self.cut_links,
        )

    def record_leaving(self, session: GatewaySession, report: CanHelp) -> None:
        """Name a gateway that is about to end as a helper no more."""
        if report.leaving and self._sessions.get(session):
            self._sessions[session] = False
            self._members_changed()

    def _note(self, session: GatewaySession, instance: str, is_cut: bool) -> None:
        sessions = self._cut.get(instance)
        if sessions is None:
            if not is_cut or len(self._cut) >= MAX_INSTANCES:
                return
            sessions = self._cut[instance] = set()
            self._names[instance] = set()
        if is_cut == (session in sessions):
            return
        if is_cut:
            sessions.add(session)
            self._names[instance].add(session.gateway)
        else:
            sessions.discard(session)
            self._names[instance].discard(session.gateway)
        self._due[instance] = None
        self._mark_engine(instance)

    def set_engines(self, engines: Mapping[str, _HasReach], serving: Iterable[str]) -> None:
        """Replace the engines that placement knows, and forget upstreams that serve no more."""
        self._engines = engines
        if not self._cut:
            return
        present = set(serving)
        for instance in [one for one in self._cut if one not in present]:
            del self._cut[instance], self._names[instance]
            self._mark_engine(instance)
            self._due[instance] = None
        for instance in self._cut:
            self._mark_engine(instance)

    def _mark_engine(self, instance: str) -> None:
        """Let placement prefer other engines for the gateways that don't reach this one."""
        is_reached = not len(self._cut.get(instance, ())) >= len(self._sessions) > 1
        if is_reached:
            self._unconfirmed_ms.pop(instance, None)
            self._lost.discard(instance)
        elif instance not in self._lost:
            self._unconfirmed_ms.setdefault(instance, self._clock.now_ms())
        engine = self._engines.get(instance)
        if engine is not None:
            engine.reach.reported_cut = self._names.get(instance, ())
            engine.reach.is_reached_by_none = instance in self._lost

    def _confirm_lost(self, now_ms: int) -> None:
        """Find the upstreams that no gateway has reached for long enough."""
        for instance, since_ms in list(self._unconfirmed_ms.items()):
            if now_ms >= since_ms + CONFIRMED_MS:
                del self._unconfirmed_ms[instance]
                self._lost.add(instance)
                self._due[instance] = None

    def send_due(self) -> None:
        """Tell gateways the helpers that changed, for some upstreams at a time."""
        now_ms = self._clock.now_ms()
        if now_ms < self._due_ms:
            return
        self._confirm_lost(now_ms)
        if not self._due:
            return
        self._due_ms = now_ms + SEND_INTERVAL_MS
        changed: dict[GatewaySession, dict[str, tuple[str, ...] | None]] = defaultdict(dict)
        for instance in self._due_now():
            self._mark_engine(instance)
            for session, named in self._changed_helpers(instance):
                changed[session][instance] = named
            if not self._cut.get(instance):
                self._cut.pop(instance, None)
                self._names.pop(instance, None)
        for session, by_instance in changed.items():
            session.send(_message(by_instance))

    def _due_now(self) -> list[str]:
        """Take the upstreams of this round."""
        taken, pairs = [], 0
        while self._due and pairs < MAX_PAIRS_A_ROUND:
            instance = next(iter(self._due))
            del self._due[instance]
            taken.append(instance)
            pairs += 1 + len(self._cut.get(instance, ()))
        return taken

    def _changed_helpers(
        self, instance: str
    ) -> Iterator[tuple[GatewaySession, tuple[str, ...] | None]]:
        """Yield the gateways whose helpers for an upstream changed; None where it needs none."""
        cut = self._cut.get(instance, set())
        sent = self._sent.pop(instance, {})
        named = self._helpers_for(cut, instance in self._lost) if cut else {}
        if named:
            self._sent[instance] = named
        for session, helpers in named.items():
            if sent.pop(session, None) != helpers:
                yield session, helpers
        for session in sent:
            yield session, None

    def _helpers_for(
        self, cut: set[GatewaySession], is_lost: bool
    ) -> dict[GatewaySession, tuple[str, ...]]:
        """Return the helpers of each gateway; nothing where it is not sure that none can help."""
        lost = [(session, one) for session, one in self._ring if session in cut]
        able = [
            one
            for session, one in self._ring
            if session not in cut and one.can_help and one.address
        ]
        if not able:
            return {session: () for session, _ in lost} if is_lost else {}
        helpers = dealt_out([one for _, one in lost], able)
        return {session: helpers[one.name] for session, one in lost}


def _message(by_instance: Mapping[str, tuple[str, ...] | None]) -> HelpersByUpstream:
    changed = (
        UpstreamHelpers(one, named) for one, named in by_instance.items() if named is not None
    )
    gone = (one for one, named in by_instance.items() if named is None)
    return HelpersByUpstream(tuple(changed), tuple(gone))
