"""Fake upstreams, selector and client connection for tests of the forwarder."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from ...clock import Clock
from ...control.upstream_record import UpstreamRecord
from ...forwarding.call import Headers
from ...forwarding.caller_reply import CallerReply
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from ...forwarding.request_end import BrokenOff, Refused
from ...forwarding.route_source import RouteSource
from ...forwarding.upstream_answer import NotRun, UpstreamAnswer
from ...forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ...placement import RunOutcome
from ...placement.run_times import RunTimes
from ...quota.messages import AnswerQuota, UsedQuota
from ...quota.quota_client import NoQuotaLeader, QuotaClient
from ...routes import RouteTable
from ...signals import NO_SIGNALS, UpstreamLoad, UpstreamSignals


class FixedRoutes(RouteSource):
    """Routes that are in force from a given clock time on."""

    def __init__(self, table: RouteTable, clock: Clock, from_ms: int = 0) -> None:
        self._clock = clock
        self._later = table
        self._from_ms = from_ms
        self.table = table if from_ms <= clock.now_ms() else None

    async def wait_for_table(self, within_ms: float) -> RouteTable | None:
        wait_ms = self._from_ms - self._clock.now_ms()
        await self._clock.sleep_ms(min(wait_ms, within_ms))
        if wait_ms <= within_ms:
            self.table = self._later
        return self.table


class ScriptedUpstreams(UpstreamApi):
    """Answers each send with the next entry of a script, and records the sends.

    An entry is a tuple of chunks for a complete answer; a `Cut`, which breaks off after its chunks;
    a `NotRun`; an int for a failure with that status; an exception class; or an `UpstreamAnswer`,
    which is returned as it is.
    """

    def __init__(self, *script: object) -> None:
        self._script = list(script)
        self.sends: list[ForwardedCall] = []

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        self.sends.append(forwarded)
        match self._script.pop(0):
            case NotRun() as not_run:
                yield UpstreamAnswer(503, (), not_run, NO_SIGNALS, _chunks(()))
            case int() as status:
                yield UpstreamAnswer(status, (), None, NO_SIGNALS, _chunks((b"failed",)))
            case Cut(chunks):
                yield UpstreamAnswer(200, (), None, NO_SIGNALS, _chunks(chunks, cut=True))
            case tuple() as chunks:
                yield UpstreamAnswer(200, (), None, NO_SIGNALS, _chunks(chunks))
            case UpstreamAnswer() as answer:
                yield answer
            case type() as error:
                raise error("scripted")
            case unknown:
                raise AssertionError(unknown)


class Cut(tuple[bytes, ...]):
    """Chunks after which the connection is lost."""

    __match_args__ = ("chunks",)

    @property
    def chunks(self) -> tuple[bytes, ...]:
        return tuple(self)


def answer_with_signals(signals: UpstreamSignals, status: int = 503) -> UpstreamAnswer:
    """Return an answer that carries `signals`; status 503 proves that nothing ran."""
    not_run = NotRun.FULL if status == 503 else None
    return UpstreamAnswer(status, (), not_run, signals, _chunks((b"said",)))


async def _chunks(chunks: tuple[bytes, ...], cut: bool = False) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk
    if cut:
        raise AnswerLost("cut")


class ListedSelector(UpstreamSelector):
    """Selects instances in order, and records criteria and outcomes."""

    def __init__(self, *instances: str) -> None:
        self._instances = list(instances)
        self.has_other = True
        self.held_back_for_ms = 0.0
        self.on_select: Callable[[], None] = lambda: None
        self.on_release: Callable[[], None] = lambda: None
        self.outcomes: list[RunOutcome] = []
        self.criteria: list[SelectionCriteria] = []

    async def select(self, criteria: SelectionCriteria) -> Place:
        self.criteria.append(criteria)
        if not self._instances:
            raise NoPlace("full", 700)
        instance = self._instances.pop(0)
        upstream = UpstreamRecord(instance, "s", "127.0.0.1:1", "dc")
        # Lets a test change the state while the selection is under way.
        self.on_select()
        return Place(f"t-{instance}", upstream, 0, has_other=self.has_other)

    def held_back_ms(self, service: str) -> float:
        return self.held_back_for_ms

    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        self.outcomes.append(outcome)
        self.on_release()


class ScriptedQuotaClient(QuotaClient):
    """A quota client that gives preset answers and records reported use.

    Attributes
    ----------
    has_leader : bool
        Whether there is a leader to ask.
    silent : bool
        Whether the leader never answers.
    answer : AnswerQuota
        The leader's answer to every question.
    """

    def __init__(self) -> None:
        self.has_leader = True
        self.silent = False
        self.answer = AnswerQuota(0, True)
        self.reported: list[UsedQuota] = []

    @property
    def connected(self) -> bool:
        return self.has_leader

    @property
    def isolated(self) -> bool:
        return not self.has_leader

    def report_use(self, use: UsedQuota) -> None:
        self.reported.append(use)

    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        if not self.has_leader:
            raise NoQuotaLeader("none")
        if self.silent:
            await asyncio.get_running_loop().create_future()
        return self.answer

    async def until_connected(self, within_ms: float) -> bool:
        return False


class RecordedReply(CallerReply):
    """Records what a client receives; fails on a second final answer."""

    def __init__(self, on_write: Callable[[], None] = lambda: None) -> None:
        self.status = 0
        self.body = b""
        self.retry_after_ms: int | None = None
        self.reason = ""
        self.ended = ""
        self.gone = False
        self._on_write = on_write

    def is_gone(self) -> bool:
        return self.gone

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        self._end("whole")
        self.status, self.body = status, body

    async def start(self, status: int, headers: Headers) -> None:
        self.status = status

    async def write(self, data: bytes) -> None:
        self.body += data
        self._on_write()

    async def finish(self) -> None:
        self._end("whole")

    def break_off(self, end: BrokenOff) -> None:
        self._end("broken off")
        self.reason = end.reason

    async def refuse(self, end: Refused) -> None:
        self._end("refused")
        self.status, self.retry_after_ms = end.status, end.retry_after_ms
        self.reason = end.reason

    async def delivered(self) -> None:
        """Nothing is left to send: no method here waits."""

    def _end(self, how: str) -> None:
        assert not self.ended, f"{self.ended}, then {how}"
        self.ended = how


__all__ = [
    "AnswerLost",
    "Cut",
    "FixedRoutes",
    "ListedSelector",
    "NotSent",
    "RecordedReply",
    "ScriptedQuotaClient",
    "ScriptedUpstreams",
    "answer_with_signals",
]
