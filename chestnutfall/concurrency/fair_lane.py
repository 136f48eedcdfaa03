"""Waiting calls in fair order between kinds of calls and between organisations."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from ..quota.fair_share import FairShare
from .demand_rate import DemandRate
from .waiting_call import WaitingCall

MAX_GROUPS = 256
"""Kinds of calls whose history is kept; those without waiting calls are dropped first."""
MAX_ORGANISATIONS = 1_024
"""Organisations of one kind whose demand is kept; the first ones are dropped."""
BACKLOG_MS = 500.0
"""Calls that wait count as demand over this time."""

Gateway = TypeVar("Gateway")
GroupKey = tuple[int, str]
"""Rank and kind of calls."""


class _Flow(Generic[Gateway]):
    """Calls of one organisation and kind, the next one first."""

    def __init__(self) -> None:
        self.calls: deque[WaitingCall[Gateway]] = deque()
        self.tag: float = 0.0

    def insert(self, call: WaitingCall[Gateway]) -> None:
        """Add a call, behind those that came back before if it came back, else last."""
        place = len(self.calls)
        if call.returned:
            place = sum(1 for one in self.calls if one.returned)
        self.calls.insert(place, call)


class _Group(Generic[Gateway]):
    """Calls of one rank and kind, by organisation."""

    def __init__(self) -> None:
        self.flows: dict[str, _Flow[Gateway]] = {}
        self.share = FairShare()
        self.tag: float = 0.0
        self.waiting = 0
        self.demand = DemandRate()
        self.demand_by_organisation: dict[str, DemandRate] = {}

    def demand_of(self, organisation: str) -> DemandRate:
        if organisation not in self.demand_by_organisation:
            if len(self.demand_by_organisation) >= MAX_ORGANISATIONS:
                del self.demand_by_organisation[next(iter(self.demand_by_organisation))]
            self.demand_by_organisation[organisation] = DemandRate()
        return self.demand_by_organisation[organisation]


class FairLane(Generic[Gateway]):
    """Orders calls by rank, then fairly between kinds, then fairly between organisations.

    Both levels use start tags of start-time fair queueing. A flow gets its tag as its first call
    becomes the next one, so that calls that are refused cost it nothing.
    """

    def __init__(self) -> None:
        self._groups: dict[GroupKey, _Group[Gateway]] = {}
        self._share = FairShare()

    def __len__(self) -> int:
        return sum(group.waiting for group in self._groups.values())

    def push(self, call: WaitingCall[Gateway], now_ms: int) -> None:
        """Queue a call and count it as demand."""
        group = self._group(call.group)
        organisation = call.asked.organisation
        group.demand.note(now_ms)
        group.demand_of(organisation).note(now_ms)
        flow = group.flows.get(organisation)
        if flow is None:
            flow = group.flows[organisation] = _Flow()
            flow.tag = group.share.tag(organisation, 1)
        if not group.waiting:
            group.tag = self._share.tag(_name(call.group), 1)
        group.waiting += 1
        flow.insert(call)

    def in_order(self, kind: str | None = None) -> Iterator[WaitingCall[Gateway]]:
        """Yield the calls, all or those of one kind, in the order in which to serve them.

        No call may be pushed, removed or served between two of them.
        """
        keys = (key for key, group in self._groups.items() if group.waiting)
        chosen = (key for key in keys if kind is None or key[1] == kind)
        for key in sorted(chosen, key=lambda one: (one[0], self._groups[one].tag)):
            flows = self._groups[key].flows.values()
            for flow in sorted(flows, key=lambda one: one.tag):
                yield from flow.calls

    def serve(self, call: WaitingCall[Gateway]) -> None:
        """Remove a call that gets its turn, and count it for its organisation and kind."""
        group = self._groups[call.group]
        organisation = call.asked.organisation
        flow = group.flows[organisation]
        group.share.served(flow.tag)
        self._share.served(group.tag)
        flow.calls.remove(call)
        group.waiting -= 1
        if flow.calls:
            flow.tag = group.share.tag(organisation, 1)
        else:
            del group.flows[organisation]
        if group.waiting:
            group.tag = self._share.tag(_name(call.group), 1)

    def remove(self, call: WaitingCall[Gateway]) -> None:
        """Remove a call that gets no turn."""
        group = self._groups[call.group]
        organisation = call.asked.organisation
        flow = group.flows[organisation]
        flow.calls.remove(call)
        group.waiting -= 1
        if not flow.calls:
            group.share.cancel(organisation, 1)
            del group.flows[organisation]
        if not group.waiting:
            self._share.cancel(_name(call.group), 1)

    def remove_where(self, matches: Callable[[WaitingCall[Gateway]], bool]) -> None:
        """Remove all calls that match."""
        for call in [one for one in self.in_order() if matches(one)]:
            self.remove(call)

    def ahead_of(self, call: WaitingCall[Gateway]) -> int:
        """Return the number of a flow's calls before one of its calls."""
        return self._groups[call.group].flows[call.asked.organisation].calls.index(call)

    def numbered(self) -> Iterator[tuple[WaitingCall[Gateway], int]]:
        """Yield each call with the number of its flow's calls before it."""
        for group in list(self._groups.values()):
            for flow in list(group.flows.values()):
                calls = list(flow.calls)
                yield from zip(calls, range(len(calls)), strict=True)

    def kinds(self) -> set[str]:
        """Kinds of the calls that wait."""
        return {key[1] for key, group in self._groups.items() if group.waiting}

    # Demand

    def demand_per_ms(self, now_ms: int) -> float:
        """Rate of all calls that come, and of those that wait."""
        return sum(_demand(group, now_ms) for group in self._groups.values())

    def more_urgent_per_ms(self, rank: int, now_ms: int) -> float:
        """The same of the calls with a lower rank number."""
        return sum(_demand(one, now_ms) for key, one in self._groups.items() if key[0] < rank)

    def other_kinds_per_ms(self, key: GroupKey, now_ms: int) -> list[float]:
        """The same of each other kind of the same rank."""
        return [
            _demand(one, now_ms)
            for other, one in self._groups.items()
            if other[0] == key[0] and other != key
        ]

    def other_organisations_per_ms(
        self, key: GroupKey, organisation: str, now_ms: int
    ) -> list[float]:
        """The same of each other organisation with calls of one rank and kind."""
        group = self._group(key)
        return [
            demand.per_ms(now_ms) + _backlog(group, name)
            for name, demand in group.demand_by_organisation.items()
            if name != organisation
        ]

    def _group(self, key: GroupKey) -> _Group[Gateway]:
        if key not in self._groups:
            if len(self._groups) >= MAX_GROUPS:
                self._drop_idle()
            self._groups[key] = _Group()
        return self._groups[key]

    def _drop_idle(self) -> None:
        for key in [key for key, group in self._groups.items() if not group.waiting]:
            del self._groups[key]


def _demand(group: _Group[Gateway], now_ms: int) -> float:
    return group.demand.per_ms(now_ms) + group.waiting / BACKLOG_MS


def _backlog(group: _Group[Gateway], organisation: str) -> float:
    flow = group.flows.get(organisation)
    return len(flow.calls) / BACKLOG_MS if flow is not None else 0.0


def _name(key: GroupKey) -> str:
    return f"{key[0]} {key[1]}"
