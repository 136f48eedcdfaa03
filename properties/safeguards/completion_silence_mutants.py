"""Mutants of the safeguards of requests whose engine falls silent and goes on."""

from __future__ import annotations

from ..mutant import Mutant

_ATTEMPTS = "chestnutfall/routing/attempts.py"
_DISPATCHER = "chestnutfall/routing/dispatcher.py"
_SILENCE_TEST = "chestnutfall.tests.test_completion_silence"
_LOSSES = "chestnutfall/routing/run_losses.py"
_GAP = "chestnutfall/engine_edge/gap_limit.py"
_GAP_TEST = "chestnutfall.tests.test_gap_limit"
_CUT_TEST = "chestnutfall.tests.test_cut_streams"
_PLAIN_TEST = "chestnutfall.tests.test_plain_silence"

COMPLETION_SILENCE_MUTANTS = (
    Mutant(
        "silent completion given up before another engine has it",
        _ATTEMPTS,
        "            max(req.deadline_ms - sent_ms, req.silent_ms),",
        "            req.silent_ms,",
        _SILENCE_TEST,
    ),
    Mutant(
        "hung engine waited for although another one is sound",
        "chestnutfall/routing/answer_race.py",
        "                if await self._wait():",
        "                if await self._wait() and False:",
        _SILENCE_TEST,
    ),
    Mutant(
        "silence counts as an end of the engine",
        _ATTEMPTS,
        "        if not exc.is_silence:",
        "        if True:",
        _SILENCE_TEST,
    ),
    Mutant(
        "pauses count as lost connections",
        _LOSSES,
        "        elif not _is_silence(exc):",
        "        else:",
        _SILENCE_TEST,
    ),
    Mutant(
        "non-idempotent completion begins beside a silent one",
        _DISPATCHER,
        "            if req.non_idempotent or tries.left == 0 or not self._budget.spend():",
        "            if tries.left == 0 or not self._budget.spend():",
        _SILENCE_TEST,
    ),
    Mutant(
        "attempts beside a hung engine without a bound",
        _DISPATCHER,
        "            if req.non_idempotent or tries.left == 0 or not self._budget.spend():",
        "            if req.non_idempotent or not self._budget.spend():",
        _SILENCE_TEST,
    ),
    Mutant(
        "engine that failed asked again beside a hung one",
        "chestnutfall/routing/answer_race.py",
        "        self.start(Attempt(attempt_id, silent | self._failed, excluded, beside=True))",
        "        self.start(Attempt(attempt_id, silent, excluded, beside=True))",
        _SILENCE_TEST,
    ),
    Mutant(
        "repeat goes back to the engine that failed",
        _DISPATCHER,
        "frozenset(tries.failed)",
        "frozenset()",
        _SILENCE_TEST,
    ),
    Mutant(
        "a pause of all engines empties the budget",
        _DISPATCHER,
        "            for _ in range(lost if paused else 0):",
        "            for _ in range(0):",
        _SILENCE_TEST,
    ),
    Mutant(
        "slow engines get second runs without a bound",
        _DISPATCHER,
        "            for _ in range(lost if paused else 0):",
        "            for _ in range(lost):",
        _SILENCE_TEST,
    ),
    Mutant(
        "engines that always begin late count as pausing",
        "chestnutfall/routing/short_pauses.py",
        "        return since_ms - last_ms < LASTING_MS",
        "        return True",
        _SILENCE_TEST,
    ),
    Mutant(
        "each request gets a second run while all engines pause",
        "chestnutfall/routing/answer_race.py",
        "        self._is_kept = self._must_wait(waiting)",
        "        self._is_kept = False",
        _SILENCE_TEST,
    ),
    Mutant(
        "request kept at a hung engine since others hang too",
        _ATTEMPTS,
        "        if newest.heard_ms is None or newest.is_silent(now_ms, LASTING_MS):",
        "        if newest.heard_ms is None:",
        _SILENCE_TEST,
    ),
    Mutant(
        "attempt that ended before it was sent costs a repeat",
        "chestnutfall/routing/answer_race.py",
        "        return attempt.beside and attempt.heard_ms is None",
        "        return False",
        _SILENCE_TEST,
    ),
    Mutant(
        "attempt that was not sent hides why the request failed",
        "chestnutfall/routing/answer_race.py",
        "            self._on_unsent()\n            return\n",
        "            self._on_unsent()\n",
        "chestnutfall.tests.test_answer_race",
    ),
    Mutant(
        "new send counts as silent since the last part of an earlier answer",
        "chestnutfall/forwarding/silent_upstreams.py",
        "            known.quiet_since_ms = known.heard_ms if known.usual_ms else None",
        "            known.quiet_since_ms = known.heard_ms",
        "chestnutfall.tests.test_silent_upstreams",
    ),
    Mutant(
        "attempt beside the one that answered goes on",
        _DISPATCHER,
        "            lost = await race.drop_others(winner)",
        "            lost = 0",
        _SILENCE_TEST,
    ),
    Mutant(
        "begun stream waits for ever on a silent connection",
        "chestnutfall/engine_edge/http_engine_api.py",
        "yield events\n                        gap.begin_wait()",
        "yield events",
        "chestnutfall.tests.test_http_engine_api",
    ),
    Mutant(
        "begun stream waits for ever after a part that came before its timer was due",
        _GAP,
        "        if self._loop.time() < self._due_s:\n            self._set_timer()",
        "        if self._loop.time() < self._due_s:\n            pass",
        _GAP_TEST,
    ),
    Mutant(
        "slow caller taken for a silent engine",
        _GAP,
        "        self._task = None\n\n    def _fall_due",
        "        pass\n\n    def _fall_due",
        _GAP_TEST,
    ),
    Mutant(
        "cancelled request goes on as its engine falls silent",
        _GAP,
        "        is_own = self._task.uncancel() <= self._cancelling",
        "        is_own = self._task.uncancel() >= 0",
        _GAP_TEST,
    ),
    Mutant(
        "timer of an answer cancels what follows it",
        _GAP,
        "            self._timer.cancel()\n        if self._due_s >= 0",
        "            pass\n        if self._due_s >= 0",
        _GAP_TEST,
    ),
    Mutant(
        "silent plain call given up before another upstream has it",
        "chestnutfall/plain_edge/plain_calls.py",
        "silent_ms=plain.wait_ms",
        "silent_ms=plain.service.silent_ms",
        _PLAIN_TEST,
    ),
    Mutant(
        "non-idempotent plain call begins beside a silent one",
        "chestnutfall/plain_edge/plain_race.py",
        "None if call.at_most_once or held else choose()",
        "None if held else choose()",
        _PLAIN_TEST,
    ),
    Mutant(
        "quarantined plain call begins beside a silent one",
        "chestnutfall/plain_edge/plain_race.py",
        "None if call.at_most_once or held else choose()",
        "None if call.at_most_once else choose()",
        _PLAIN_TEST,
    ),
    Mutant(
        "plain call goes to all upstreams beside a hung one",
        "chestnutfall/plain_edge/plain_proxy.py",
        "        if len(tried) >= MAX_ATTEMPTS:",
        "        if False:",
        _PLAIN_TEST,
    ),
    Mutant(
        "silence counts as an end of a plain upstream",
        "chestnutfall/plain_edge/plain_race.py",
        "            if str(exc) != SILENT:",
        "            if True:",
        _PLAIN_TEST,
    ),
    Mutant(
        "plain call turned away ends the one beside it",
        "chestnutfall/plain_edge/plain_race.py",
        "        if answer.turned_away or answer.response.status in NOT_RUN_STATUSES:",
        "        if False:",
        _PLAIN_TEST,
    ),
    Mutant(
        "stream through a helper given up while the helper is silent",
        _LOSSES,
        "        elif not _is_silence(exc):",
        "        else:",
        "chestnutfall.tests.test_helped_silence",
    ),
    Mutant(
        "begun stream of a silent engine never ends",
        _LOSSES,
        "        late = held and now_ms >= self.heard_ms + begin_ms",
        "        late = False",
        _SILENCE_TEST,
    ),
    Mutant(
        "stream broken off after a few connections that don't open",
        _LOSSES,
        "        if _is_unreached(exc):",
        "        if False:",
        _CUT_TEST,
    ),
    Mutant(
        "stream of a host that vanished never ends",
        _LOSSES,
        "        late = held and now_ms",
        "        late = _is_silence(exc) and now_ms",
        _CUT_TEST,
    ),
    Mutant(
        "engine that is not reached tried twenty times a second",
        _LOSSES,
        "            self.unreached += 1",
        "            self.unreached = 1",
        _CUT_TEST,
    ),
    Mutant(
        "stream waits for an engine that has ended",
        "chestnutfall/routing/engine_runs.py",
        "if losses.unreached and await self._has_ended(engine):",
        "if False:",
        _CUT_TEST,
    ),
    Mutant(
        "stream waits for an engine that another process has replaced",
        _DISPATCHER,
        "        if known is not None and known.instance != engine.instance:",
        "        if False:",
        _CUT_TEST,
    ),
)
