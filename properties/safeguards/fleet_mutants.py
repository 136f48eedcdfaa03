"""Mutants of the safeguards between gateways, the leader and engines on the platform."""

from __future__ import annotations

from ..mutant import Mutant

FLEET_MUTANTS = (
    Mutant(
        "first word awaited equally long each time",
        "chestnutfall/forwarding/first_message_timeouts.py",
        "min(2 * self.timeout_ms(address), MAX_TIMEOUT_MS)",
        "INITIAL_TIMEOUT_MS",
        "chestnutfall.tests.test_leader_rush",
    ),
    Mutant(
        "new leader's count of gateways taken at its word",
        "chestnutfall/forwarding/recent_gateways.py",
        "        if gateways >= self._largest or now_ms - self._noted_ms > REMEMBERED_MS:",
        "        if True:",
        "chestnutfall.tests.test_leader_rush",
    ),
    Mutant(
        "calls refused while the gateway starts",
        "chestnutfall/forwarding/forwarder.py",
        "self._routes.table or await self._wait_for_first_table(call)",
        "self._routes.table",
        "chestnutfall.tests.test_forwarder",
    ),
    Mutant(
        "lost answer counts with the time waited for it",
        "chestnutfall/coordination/answer_timer.py",
        "UNANSWERED_FACTOR * self._average_ms",
        "self.timeout_ms",
        "chestnutfall.tests.test_answer_timer",
    ),
    Mutant(
        "a new leader begins with guesses",
        "chestnutfall/coordination/leader_term.py",
        "            self._placer.kinds.restore(service, kind)\n",
        "            pass\n",
        "chestnutfall.tests.test_fleet_leader",
    ),
    Mutant(
        "entries of services that nobody named are kept",
        "chestnutfall/coordination/leader_term.py",
        "        return self._table is None or service in self._table.services",
        "        return True",
        "chestnutfall.tests.test_fleet_leader",
    ),
    Mutant(
        "the report of another life is taken",
        "chestnutfall/coordination/engine_orders.py",
        "        if report.started_ms != self._record.started_ms:",
        "        if False:",
        "chestnutfall.tests.test_engine_orders",
    ),
    Mutant(
        "a new leader gives out repeats at once",
        "chestnutfall/coordination/repeat_pool.py",
        "        self._from_ms = clock.now_ms() + bounds.window_ms",
        "        self._from_ms = clock.now_ms()",
        "chestnutfall.tests.test_repeats",
    ),
    Mutant(
        "a leader that was cut off gives out repeats",
        "chestnutfall/coordination/leader_term.py",
        "                given = self.leads() and self._repeats.take(service)",
        "                given = self._repeats.take(service)",
        "chestnutfall.tests.test_fleet_leader",
    ),
    Mutant(
        "repeats are lent against too few upstreams",
        "chestnutfall/forwarding/repeats.py",
        "        return not upstream_is_busy and await self._borrow(service)",
        "        return await self._borrow(service)",
        "chestnutfall.tests.test_repeats",
    ),
    Mutant(
        "an engine without the adapter is asked again and again",
        "chestnutfall/forwarding/progress.py",
        "        if lacks_adapter and instance not in self.lacked_adapter:",
        "        if lacks_adapter:",
        "chestnutfall.tests.test_forwarder",
    ),
    Mutant(
        "who comes before its adapter is placed elsewhere",
        "chestnutfall/forwarding/progress.py",
        "        if lacks_adapter and instance not in self.lacked_adapter:",
        "        if False:",
        "chestnutfall.tests.test_forwarder",
    ),
    Mutant(
        "gateways are told of every adapter that comes and goes",
        "chestnutfall/coordination/gateway_broadcaster.py",
        "        lasting, self._last_ready = ready & self._last_ready, ready",
        "        lasting, self._last_ready = ready, ready",
        "chestnutfall.tests.test_gateway_broadcaster",
    ),
    Mutant(
        "a new leader's greeting makes gateways forget",
        "chestnutfall/coordination/gateway_broadcaster.py",
        "        if self._sent:\n            session.send_bulk(",
        "        if True:\n            session.send_bulk(",
        "chestnutfall.tests.test_gateway_broadcaster",
    ),
    Mutant(
        "late calls are taken while leaving",
        "chestnutfall/forwarding/drain.py",
        "BALANCER_NOTICE_MS = 2_500",
        "BALANCER_NOTICE_MS = 3_000",
        "chestnutfall.tests.test_fleet_parts",
    ),
    Mutant(
        "the last upstream of a service is left when it is slow",
        "chestnutfall/forwarding/sender.py",
        "        if not self._place.has_other:",
        "        if False:",
        "chestnutfall.tests.test_forwarder",
    ),
    Mutant(
        "shares of less than one repeat are none",
        "chestnutfall/forwarding/shared_retry_budget.py",
        "SAFETY_FACTOR * own + self._rounding_offset:",
        "SAFETY_FACTOR * own:",
        "chestnutfall.tests.test_repeats",
    ),
)
