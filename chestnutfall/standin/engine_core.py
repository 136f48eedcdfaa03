"""Adapter slots, batch and fencing of the stand-in engine."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter

from .run import Run
from .silence import Silence

MAX_KEPT_RUNS = 512
"""Runs kept for resumption; the oldest ended runs are dropped first."""


class EngineCore:
    """A continuous batch over a few adapter slots.

    The unload of an adapter in use is carried out and breaks its runs, so that tests notice an
    eviction that should not have been ordered.

    Parameters
    ----------
    slots : int
        Adapters that fit, those being loaded included.
    load_ms, step_ms : int
        Duration of a load, and of one step that generates a token for each run.
    batch : int
        Most runs that take part in one step.
    checks_epochs : bool
        Whether orders with an epoch older than the newest one are rejected.

    Attributes
    ----------
    adapters : dict of str to str
        State of each adapter: "loading" or "ready".
    epoch : int
        Newest epoch of an order.
    counts : Counter of str
        Number of events by kind, for tests.
    faults : Counter of str
        Scripted faults, each with the number of times that it still occurs.
    silence : Silence
        Times in which it writes nothing.
    """

    def __init__(
        self, slots: int, load_ms: int, step_ms: int, batch: int, checks_epochs: bool
    ) -> None:
        self.incarnation = uuid.uuid4().hex
        self.slots = slots
        self.load_ms = load_ms
        self.step_ms = step_ms
        self.batch = batch
        self.adapters: dict[str, str] = {}
        self.runs: dict[str, Run] = {}
        self.epoch = 0
        self.counts: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.silence = Silence()
        self._checks_epochs = checks_epochs
        self._loads: set[asyncio.Task[None]] = set()
        self._has_work = asyncio.Event()

    def take_fault(self, name: str) -> bool:
        """Return whether the scripted fault `name` is due, and count it as done if so."""
        if self.faults[name] <= 0:
            return False
        self.faults[name] -= 1
        return True

    def order(self, kind: str, epoch: int, adapter: str) -> str:
        """Carry out an order; return "accepted", or the reason for rejecting it."""
        if self._checks_epochs and epoch < self.epoch:
            self.counts["stale_orders"] += 1
            return "stale_epoch"
        self.epoch = max(self.epoch, epoch)
        if kind == "unload":
            return self._unload(adapter)
        return self._load(adapter)

    def _unload(self, adapter: str) -> str:
        self.adapters.pop(adapter, None)
        for run in self.runs.values():
            if run.adapter == adapter and not run.done:
                self.counts["evicted_while_serving"] += 1
                run.cancelled = True
                run.changed.set()
        return "accepted"

    def _load(self, adapter: str) -> str:
        if self.adapters.get(adapter) in ("ready", "loading"):
            return "accepted"
        self.adapters.pop(adapter, None)
        if len(self.adapters) >= self.slots:
            return "no_free_slot"
        self.adapters[adapter] = "loading"
        task = asyncio.ensure_future(self._finish_load(adapter))
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)
        return "accepted"

    async def _finish_load(self, adapter: str) -> None:
        await asyncio.sleep(self.load_ms / 1000)
        self.counts["loads"] += 1
        if self.take_fault("load_failure"):
            self.adapters.pop(adapter, None)
        elif adapter in self.adapters:
            self.adapters[adapter] = "ready"

    def start_run(self, run: Run) -> None:
        """Add a run to the batch."""
        self.counts["runs"] += 1
        while len(self.runs) >= MAX_KEPT_RUNS:
            oldest = next((key for key, old in self.runs.items() if old.done), None)
            if oldest is None:
                break
            del self.runs[oldest]
        self.runs[run.attempt_id] = run
        self._has_work.set()

    def cancel(self, attempt_id: str) -> None:
        """Cancel a run, if it is known and not done."""
        run = self.runs.get(attempt_id)
        if run is not None and not run.done:
            self.counts["cancelled"] += 1
            run.cancelled = True
            run.changed.set()

    def running(self) -> dict[str, str]:
        """Return the adapter of each run that has not ended, by attempt id."""
        return {
            run.attempt_id: run.adapter
            for run in self.runs.values()
            if not run.done and not run.cancelled
        }

    async def step_forever(self) -> None:
        """In each step, generate a token for each of the most urgent runs, `batch` at most."""
        while True:
            active = [run for run in self.runs.values() if not run.done and not run.cancelled]
            if not active:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            await asyncio.sleep(self.step_ms / 1000)
            await self.silence.before_running()
            active.sort(key=lambda run: run.priority)
            for run in active[: self.batch]:
                if not run.cancelled:
                    run.step()
            self.counts["steps"] += 1
            self.counts["step_tokens"] += min(len(active), self.batch)
