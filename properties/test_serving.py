"""Tickets, pins, loads and ownership under random sequences of faults.

Requests ask for more adapters than there are slots while gateways die, freeze and lose their
connections, and engines restart empty. The tests guard against answers that break off because their
adapter was evicted, answers of another adapter, and two gateways that act for one engine at once.
"""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chestnutfall.requests import Executed, Refusal
from chestnutfall.tests.fakes.fake_office import FakeOffice

GATEWAYS = 3
ENGINES = 2
SLOTS = 2
LOADS_AT_ONCE = 3
"""Loads from the weight store that the default limits permit at once."""
gateway_number = st.integers(0, GATEWAYS - 1)
engine_number = st.integers(0, ENGINES - 1)
adapter = st.sampled_from(["a0", "a1", "a2", "a3", "a4", "once"])


class Serving(RuleBasedStateMachine):
    """Runs gateways' decision code with fake engines and checks safety after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.answers: list[tuple[str, str, asyncio.Task[list[bytes]]]] = []

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize(seed=st.integers(0, 2**32), checked=st.booleans(), slow=st.booleans())
    def begin(self, seed: int, checked: bool, slow: bool) -> None:
        self.run(self._begin(seed, checked, slow))

    async def _begin(self, seed: int, checked: bool, slow: bool) -> None:
        self.office = FakeOffice(seed)
        await self.office.start(GATEWAYS, ENGINES, SLOTS)
        for engine, _ in self.office.announced.values():
            engine.checked = checked
            engine.tokens = 200 if slow else 6

    @rule(at=gateway_number, name=adapter, count=st.integers(1, 3))
    def ask(self, at: int, name: str, count: int) -> None:
        self.run(self._ask(at, name, count))

    async def _ask(self, at: int, name: str, count: int) -> None:
        gateway = self.office.gateway(at)
        if not gateway.alive or not gateway.agent.is_config_confirmed() or self._is_frozen(at):
            return
        for _ in range(count):
            req = gateway.request(f"{name}@1")
            task = asyncio.ensure_future(gateway.answer(req))
            self.answers.append((req.request_id, req.model, task))
        await self.office.clock.settle()

    def _is_frozen(self, at: int) -> bool:
        return not self.office.gateway(at).clock._running.is_set()

    @rule(ms=st.sampled_from([10, 100, 500, 2000, 5000]))
    def wait(self, ms: int) -> None:
        self.run(self._advance(ms))

    async def _advance(self, ms: int) -> None:
        for _ in range(0, ms, 50):
            await self.office.clock.advance(min(50, ms))
            self.check()

    @rule(which=st.integers(0, 10))
    def leave(self, which: int) -> None:
        if self.answers:
            self.answers[which % len(self.answers)][2].cancel()
            self.run(self.office.clock.settle())

    @rule(at=gateway_number)
    def kill_or_restart_gateway(self, at: int) -> None:
        self.run(self._kill_or_restart(at))

    async def _kill_or_restart(self, at: int) -> None:
        gateway = self.office.gateway(at)
        if gateway.alive:
            await gateway.kill()
        else:
            self.office.restarts += 1
            self.office.add_gateway(f"entry-{at}")

    @rule(at=gateway_number)
    def freeze_or_thaw_gateway(self, at: int) -> None:
        gateway = self.office.gateway(at)
        if self._is_frozen(at) and gateway.alive:
            gateway.clock.thaw()
        else:
            gateway.clock.freeze()

    @rule(at=gateway_number, control=st.booleans())
    def cut_or_heal_link(self, at: int, control: bool) -> None:
        gateway = self.office.gateway(at)
        if control:
            gateway.client.cut = not gateway.client.cut
        else:
            gateway.links.cut = not gateway.links.cut

    @rule(at=engine_number)
    def leave_or_return_engine(self, at: int) -> None:
        name = f"engine-{at}"
        engine, state = self.office.announced[name]
        if state == "leaving":
            self._return(name)
        else:
            self.office.announced[name] = (engine, "leaving")

    def _return(self, name: str) -> None:
        """Let an engine serve again. One that left returns as a new process without adapters."""
        engine, _ = self.office.announced[name]
        engine.restart_empty()
        self.office.announced[name] = (engine, "serving")

    @rule(at=engine_number)
    def restart_engine(self, at: int) -> None:
        self.office.engine(at).restart_empty()

    @rule(at=engine_number, fault=st.sampled_from(["load_failure", "order_lost", "reset"]))
    def engine_fault(self, at: int, fault: str) -> None:
        self.office.engine(at).faults[fault] += 1

    @invariant()
    def safe(self) -> None:
        if hasattr(self, "office"):
            self.check()

    def check(self) -> None:
        for name, (engine, _) in self.office.announced.items():
            assert engine.evicted_while_serving == 0, f"{name} evicted an adapter in use"
            assert len(engine.adapters) <= SLOTS
            acting = [
                gateway.session
                for gateway in self.office.gateways.values()
                if gateway.alive
                and gateway.agent.ownership_epoch(name) is not None
                and gateway.clock._running.is_set()
            ]
            assert len(acting) <= 1, f"{acting} act for {name} at the same time"
        assert len(self.office.control.state.permits) <= LOADS_AT_ONCE
        self._check_answers()

    def _check_answers(self) -> None:
        runs = [run for engine, _ in self.office.announced.values() for run in engine.ran]
        for request_id, model, task in self.answers:
            mine = [run for run in runs if run.startswith(request_id)]
            if model.startswith("once@"):
                assert len(mine) <= 1, "a non-idempotent request ran twice"
            if not task.done() or task.cancelled():
                continue
            match task.exception():
                case None:
                    events = task.result()
                    assert events[-1] == b"[DONE]"
                    assert all(model.encode() in event for event in events[:-1])
                case Refusal(executed=Executed.NO):
                    assert not mine, "said not run, but it ran"
                case Refusal():
                    pass
                case other:
                    raise AssertionError(f"unexpected {other!r}") from other

    def teardown(self) -> None:
        if hasattr(self, "office"):
            try:
                self.run(self._finish())
            finally:
                self.run(self.office.stop())
        self.loop.close()

    async def _finish(self) -> None:
        """End all faults, wait for the requests to end and check that a new one is served."""
        for at in range(GATEWAYS):
            gateway = self.office.gateway(at)
            if not gateway.alive:
                await self._kill_or_restart(at)
            gateway.clock.thaw()
            gateway.client.cut = gateway.links.cut = False
        for name, (engine, state) in list(self.office.announced.items()):
            engine.faults.clear()
            if state == "leaving":
                self._return(name)
        await self._advance(15_000)
        gateway = self.office.gateway(0)
        await self.office.finish(gateway.answer(gateway.request("a5@1")))


ServingTest = Serving.TestCase
ServingTest.settings = settings(max_examples=80, stateful_step_count=30)
