"""One engine, as placement sees it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from ..limits.upstream_limit import UpstreamLimit
from ..routes import EngineSpec
from ..signals.upstream_backoff import UpstreamBackoff
from .adapter_name import AdapterName
from .engine_kind import EngineKind
from .engine_report import EngineReport
from .holding import Holding
from .load_timer import LoadTimer
from .pause_budget import PauseBudget
from .place_request import PlaceRequest
from .prompt_cache import Prefixes, PromptCache
from .read_pace import ReadPace
from .read_schedule import ReadSchedule
from .reading_room import ReadingRoom
from .run_times import RunTimes
from .store_times import StoreTimes
from .upstream_health import UpstreamHealth

RECENT_PER_SLOT = 5
"""Adapters an engine keeps in its own memory beyond those it holds, for each place for them."""
TRANSITS_PER_ENGINE = 4
"""Loads that an engine takes at the same time."""
CONNECTION_STRIKES = 2
"""On links that lose a few packets in a hundred, each engine has some failed connections a second
beside many good ones; shunned at the first one, a quarter of the engines stands idle. A host that
is down fails all connections, so that the second one comes some ms after the first."""
OVERBOOKED = 2
"""Requests that an engine is given at most, for each one that it runs at once. One that waits for
its adapter needs no place in the batch, and by the time the adapter is there some of the others
have ended. With places held for it all the while, engines stand half idle when adapters bind: of
16 engines of 8 places each, at 260 requests a second of which a third need a load, 73 % of first
events were in time, and 97 % since (`benchmarks.placement --engines 16 --batch 8 --places 7`)."""
KV_SHARE = 0.9
"""Part of an engine's memory that running requests may fill; the rest keeps prefixes."""


class Engine:
    """What an engine holds and runs.

    Attributes
    ----------
    models : dict of str to int
        Version by base model held.
    holdings : dict of AdapterName to Holding
        Adapters held or in transit.
    running : dict of str to PlaceRequest
        Requests that run on it or wait for their adapters.
    loading_model : str
        Base model on its way; empty when there is none.
    synced : bool
        Whether its report was read; before that nothing is ordered.
    has_stray_order : bool
        Whether it may still carry out an order that we gave up; one place is left for that.
    limit : UpstreamLimit
        How many requests a second it says that it takes.
    backoff : UpstreamBackoff
        Which gateways it wants no request from.
    pauses : PauseBudget
        How much reading the streams that run here bear.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        data_centre: str,
        spec: EngineSpec,
        kind: EngineKind,
        pace: ReadPace,
        store: StoreTimes,
        limit: UpstreamLimit,
        backoff: UpstreamBackoff,
    ) -> None:
        self.instance = instance
        self.service = service
        self.data_centre = data_centre
        self.spec = spec
        self.models: dict[str, int] = {}
        self.holdings: dict[AdapterName, Holding] = {}
        self.running: dict[str, PlaceRequest] = {}
        self.loading_model = ""
        self.synced = False
        self.has_stray_order = False
        self.limit = limit
        self.backoff = backoff
        self.health = UpstreamHealth(CONNECTION_STRIKES)
        self.loads = LoadTimer(instance, kind.load_ms, store)
        self.prompts = PromptCache(int(spec.kv_tokens * KV_SHARE))
        self.reading = ReadSchedule(pace)
        self.pauses = PauseBudget(kind.gap_ms)
        self._kv_used = 0
        self._recent: OrderedDict[AdapterName, None] = OrderedDict()

    def take(self, report: EngineReport, now_ms: int) -> None:
        """Replace what is known of its contents, keeping who uses what."""
        before = self.holdings
        load_ms = self.loads.expected_ms(recent=False)
        self.models = dict(report.models)
        if self.loading_model in self.models:
            self.loading_model = ""
        self.holdings = {}
        for name, version in report.adapters.items():
            self.holdings[name] = Holding(version, now_ms, confirmed=True)
        for name, version in report.coming.items():
            self.holdings[name] = Holding(version, int(now_ms + load_ms), ordered_ms=now_ms)
        for name, old in before.items():
            if name in self.holdings:
                self.holdings[name].tickets = old.tickets
                if name in report.coming:
                    self.holdings[name].ready_ms = max(old.ready_ms, now_ms)
        self.synced = True

    # Room

    def has_room(self, req: PlaceRequest) -> bool:
        """Whether one more request may run here or wait for its adapter."""
        tokens = req.prompt_tokens + req.output_tokens
        fits = self._kv_used + tokens <= self.spec.kv_tokens * KV_SHARE
        return len(self.running) < OVERBOOKED * self.spec.batch and (fits or not self.running)

    def send_wait_ms(self, now_ms: int) -> int:
        """Time until it may be sent one more request than those that wait here already."""
        return self.limit.wait_ms(self.reading.waiting_count, now_ms)

    def has_batch_place(self) -> bool:
        """Whether one of the requests that wait here may be sent now."""
        return len(self.running) - self.reading.waiting_count < self.spec.batch

    @property
    def beyond_batch(self) -> int:
        """Requests that have to end before one more can be sent."""
        return max(len(self.running) + 1 - self.spec.batch, 0)

    def read_wait_ms(self, now_ms: int) -> float:
        """How long a new prompt waits for those before it."""
        return self.reading.wait_ms(self.pauses.window(), now_ms)

    def read_ms(self, req: PlaceRequest, prefixes: Prefixes) -> float:
        """How long this request's prompt takes to read."""
        tokens = self.prompts.missing_tokens(req.prompt_tokens, prefixes)
        return tokens * self.reading.ms_per_token

    def reading_room(self, now_ms: int) -> ReadingRoom:
        """Whether one more prompt may queue for this engine.

        One window's reading ahead keeps the engine busy; who queues here can't go to an engine
        that is free sooner. Prompts whose adapters are still loading don't count: an engine whose
        loads hang for a second would refuse work that it could do. Of about 7,800 requests of four
        days with trouble 221 were refused for a queue without hope instead of 454.
        """
        window = self.pauses.window()
        if window is None:
            return ReadingRoom(True, True)
        ahead_ms = self.reading.reserved_ms(
            ticket
            for ticket in self.reading.waiting
            if self._has_adapter(self.running[ticket], now_ms)
        )
        return ReadingRoom(ahead_ms <= window.budget_ms, ahead_ms <= 0)

    def _has_adapter(self, req: PlaceRequest, now_ms: int) -> bool:
        held = self.holdings.get(req.adapter)
        return held is None or held.is_ready(now_ms)

    def starts_per_s(self) -> float:
        """How many requests it can start in a second if each needs a load."""
        loads_per_s = TRANSITS_PER_ENGINE * 1000 / self.loads.expected_ms(recent=False)
        starts_per_s = min(self.reading.prompts_per_s(self.pauses.window()), loads_per_s)
        return min(starts_per_s, self.limit.per_s or starts_per_s)

    def may_read(self, ticket: str, urgent: bool, now_ms: int) -> bool:
        """Whether the streams that run here bear the reading of this request now.

        One that is late if it waits any longer is read although a stream may then pause: its
        own lateness is certain. Those that are late already gain nothing by it.
        """
        return self.reading.fits(ticket, self.pauses.window(urgent), now_ms)

    def start(self, req: PlaceRequest, prefixes: Prefixes) -> None:
        """Count a request that will be sent to it."""
        tokens = self.prompts.missing_tokens(req.prompt_tokens, prefixes)
        self.reading.reserve(req.ticket, tokens)
        self.prompts.note(prefixes)
        self.running[req.ticket] = req
        self._kv_used += req.prompt_tokens + req.output_tokens
        self.pauses.add(req.pause_objective_ms)

    def end(self, ticket: str) -> PlaceRequest | None:
        """Stop counting a request."""
        req = self.running.pop(ticket, None)
        self.reading.cancel(ticket)
        if req is not None:
            self._kv_used -= req.prompt_tokens + req.output_tokens
            self.pauses.remove(req.pause_objective_ms)
        return req

    def learn(self, ticket: str, times: RunTimes) -> None:
        """Take in how fast it answered a request that is still counted."""
        self.reading.learn(ticket, times.first_ms)
        self.pauses.learn(times.gap_ms)

    # Adapters

    def in_transit(self, now_ms: int) -> int:
        """Adapters that are on their way."""
        return sum(not one.is_ready(now_ms) for one in self.holdings.values())

    def can_load_more(self, now_ms: int) -> bool:
        """Whether it takes one more load now."""
        if self.has_stray_order and len(self.holdings) >= self.spec.adapter_slots:
            return False
        return self.synced and self.in_transit(now_ms) < TRANSITS_PER_ENGINE

    def has_free_slot(self) -> bool:
        """Whether an adapter fits without an eviction."""
        return len(self.holdings) + self.has_stray_order < self.spec.adapter_slots

    def evictable(self, now_ms: int) -> Iterator[AdapterName]:
        """Adapters that nothing runs on or waits for."""
        return (name for name, holding in self.holdings.items() if holding.is_idle(now_ms))

    def held_recently(self, name: AdapterName) -> bool:
        """Whether the engine probably still has a copy in its own memory."""
        return name in self._recent and self.loads.trusts_copies

    @property
    def recent(self) -> Iterable[AdapterName]:
        """Adapters of which it probably has a copy in its own memory."""
        return self._recent if self.loads.trusts_copies else ()

    def begin_load(self, name: AdapterName, version: int, load_ms: float, now_ms: int) -> None:
        """Note that it will be ordered to load an adapter, or another version of one it holds."""
        self.prompts.drop(name)
        self.holdings[name] = Holding(
            version,
            int(now_ms + load_ms),
            expected_ms=load_ms,
            from_memory=self.held_recently(name),
            ordered=False,
        )

    def forget_copy(self, name: AdapterName) -> None:
        """Note that the engine had no copy of an adapter in its own memory."""
        self._recent.pop(name, None)

    def note_dropped(self, name: AdapterName) -> None:
        """Forget a holding; a copy stays in the engine's own memory for a while."""
        self.holdings.pop(name, None)
        self.prompts.drop(name)
        self._recent[name] = None
        self._recent.move_to_end(name)
        while len(self._recent) > RECENT_PER_SLOT * self.spec.adapter_slots:
            self._recent.popitem(last=False)
