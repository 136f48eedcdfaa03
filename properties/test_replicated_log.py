"""The replicated log under random sequences of faults.

No acknowledged change may be lost, and no two controllers may be active leaders at once. Faults
come in any order while commands are proposed: crashes that tear unsynced data, restarts, one-way
cuts, freezes, failing disks. Messages are delayed and duplicated throughout.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chestnutfall.consensus import Replica
from chestnutfall.tests.fakes import FakeCluster, Recorder

NAMES = ("a", "b", "c")
name = st.sampled_from(NAMES)


class ReplicatedLog(RuleBasedStateMachine):
    """Runs real replicas with random faults and checks the safety properties after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.acknowledged: set[str] = set()
        self.proposed = 0
        self.leader_of: dict[int, str] = {}
        self.pending: list[tuple[str, asyncio.Future[Any]]] = []

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.run(self._begin(seed))

    async def _begin(self, seed: int) -> None:
        self.cluster = FakeCluster(seed, NAMES)
        await self.cluster.bootstrap()
        await self.cluster.leader()

    @rule(at=name, count=st.integers(1, 6))
    def propose(self, at: str, count: int) -> None:
        self.run(self._propose(at, count))

    async def _propose(self, at: str, count: int) -> None:
        replica = self.cluster.replicas.get(at)
        if replica is None or not self.cluster.clocks[at]._running.is_set():
            return
        for _ in range(count):
            self.proposed += 1
            command = f"{self.proposed}"
            task = asyncio.ensure_future(replica.propose(command.encode()))
            self.pending.append((command, task))
        await self.cluster.clock.settle()

    @rule(ms=st.sampled_from([1, 5, 30, 200, 700, 1500]))
    def wait(self, ms: int) -> None:
        self.run(self._advance(ms))

    async def _advance(self, ms: int) -> None:
        # Small steps, so that the invariants are checked while leases expire.
        for _ in range(0, ms, 25):
            await self.cluster.clock.advance(min(25, ms))
            self.check()

    @rule(at=name)
    def crash(self, at: str) -> None:
        self.run(self.cluster.crash(at))

    @rule(at=name)
    def restart(self, at: str) -> None:
        if at not in self.cluster.replicas:
            self.run(self._restart(at))

    async def _restart(self, at: str) -> None:
        self.cluster.start(at)

    @rule(sender=name, receiver=name)
    def cut(self, sender: str, receiver: str) -> None:
        if sender != receiver:
            self.cluster.network.cuts.add((sender, receiver))

    @rule()
    def heal(self) -> None:
        self.cluster.network.cuts.clear()

    @rule(at=name)
    def freeze(self, at: str) -> None:
        self.cluster.clocks[at].freeze()

    @rule(at=name)
    def thaw(self, at: str) -> None:
        self.cluster.clocks[at].thaw()

    @rule(at=name, error=st.sampled_from([errno.EIO, errno.ENOSPC]))
    def fail_disk(self, at: str, error: int) -> None:
        if at in self.cluster.replicas:
            self.cluster.folders[at].fail_with = error

    @invariant()
    def safe(self) -> None:
        if hasattr(self, "cluster"):
            self.check()

    def check(self) -> None:
        for replica in self.cluster.leaders():
            known = self.leader_of.setdefault(replica.term, replica.replica_id)
            assert known == replica.replica_id, f"two leaders in term {replica.term}"
        active = self.cluster.active_leaders()
        assert len(active) <= 1, f"{active} decide at the same time"
        for command, task in self.pending:
            if task.done() and not task.cancelled() and task.exception() is None:
                self.acknowledged.add(command)
        logs = sorted((_applied(r) for r in self.cluster.replicas.values()), key=len)
        for shorter, longer in itertools.pairwise(logs):
            assert longer[: len(shorter)] == shorter, "committed entries differ"

    def teardown(self) -> None:
        try:
            if hasattr(self, "cluster"):
                self.run(self._finish())
        finally:
            self.run(self.cluster.stop())
            self.loop.close()

    async def _finish(self) -> None:
        await self.cluster.restore_all()
        await self._advance(3000)
        await self.cluster.leader()
        await self._advance(1000)
        for replica in self.cluster.replicas.values():
            applied = _applied(replica)
            assert self.acknowledged <= set(applied), "an acknowledged command is lost"
            assert len(applied) == len(set(applied)), "a command was applied twice"


def _applied(replica: Replica) -> list[str]:
    assert isinstance(replica.machine, Recorder)
    return replica.machine.applied


ReplicatedLogTest = ReplicatedLog.TestCase
ReplicatedLogTest.settings = settings(max_examples=300, stateful_step_count=40)
