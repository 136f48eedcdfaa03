"""Mutants of the safeguards against requests that end the upstreams that run them."""

from __future__ import annotations

from ..mutant import Mutant

_LEDGER_TEST = "chestnutfall.tests.test_crash_ledger"
_MONITOR_TEST = "chestnutfall.tests.test_crash_monitor"
_FORWARDER_TEST = "chestnutfall.tests.test_forwarder"

QUARANTINE_MUTANTS = (
    Mutant(
        "a request that was answered before is blamed like a new one",
        "chestnutfall/control/crash_ledger.py",
        "        ends.subtract(dict.fromkeys(wanted.intersection(self.answered), ENDS_BY_CHANCE))",
        "        pass",
        _MONITOR_TEST,
    ),
    Mutant(
        "a request stays quarantined for ends that a prompt part explains",
        "chestnutfall/control/crash_ledger.py",
        "            if left != instances and len(left) < ENDS_TO_QUARANTINE:\n",
        "            if False:\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "a prompt part that explains one end releases a request that has others",
        "chestnutfall/control/crash_ledger.py",
        "            if left != instances and len(left) < ENDS_TO_QUARANTINE:\n",
        "            if left != instances:\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "a status that says not run clears a request",
        "chestnutfall/forwarding/result_handler.py",
        "        if failed.status not in NOT_RUN_STATUSES:\n",
        "        if True:\n",
        _FORWARDER_TEST,
    ),
    Mutant(
        "a status that says not run clears a plain call",
        "chestnutfall/plain_edge/plain_proxy.py",
        "                if last_response.status not in NOT_RUN_STATUSES:\n",
        "                if True:\n",
        "chestnutfall.tests.test_plain_proxy",
    ),
    Mutant(
        "an answer between two ends clears nothing",
        "chestnutfall/control/crash_monitor.py",
        "        await self._clear_answered(runs)\n",
        "",
        _MONITOR_TEST,
    ),
    Mutant(
        "an answer before an end clears what ended it",
        "chestnutfall/control/crash_monitor.py",
        "run.answered_ms is None or run.answered_ms <= last_ms",
        "run.answered_ms is None",
        _MONITOR_TEST,
    ),
    Mutant(
        "the last answer to a request is not reported with its break",
        "chestnutfall/quarantine/request_quarantine.py",
        "        self._answered_ms[fingerprint] = self._clock.now_ms()\n",
        "        self._answered_ms.clear()\n",
        "chestnutfall.tests.test_request_quarantine",
    ),
    Mutant(
        "an end by rejections is blamed on what ran",
        "chestnutfall/control/crash_monitor.py",
        "        if broken.ended_by_rejections:\n            log.info",
        "        if False:\n            log.info",
        _MONITOR_TEST,
    ),
    Mutant(
        "rejections of long ago explain an end",
        "chestnutfall/control/broken_upstream.py",
        "            and latest_ms <= self.rejecting_until_ms\n",
        "",
        _MONITOR_TEST,
    ),
    Mutant(
        "rejections before an end are not reported",
        "chestnutfall/quarantine/request_quarantine.py",
        "        rejecting = self._rejected_since(instance, now_ms - WINDOW_MS)\n",
        "        rejecting = False\n",
        "chestnutfall.tests.test_request_quarantine",
    ),
    Mutant(
        "a report that is sent again implicates a cleared request",
        "chestnutfall/control/upstream_end.py",
        "        known = {*self.suspects, *self.overlapping, *self.cleared}\n",
        "        known = {*self.suspects, *self.overlapping}\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "a report that is sent again makes an overlapping end count",
        "chestnutfall/control/upstream_end.py",
        "        known = {*self.suspects, *self.overlapping, *self.cleared}\n",
        "        known = {*self.cleared}\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "quarantined calls are sent",
        "chestnutfall/forwarding/quarantine_hold.py",
        "    if retry_ms is None:\n        return None\n",
        "    if True:\n        return None\n",
        _FORWARDER_TEST,
    ),
    Mutant(
        "no look at the quarantine after the wait for a place",
        "chestnutfall/forwarding/forwarder.py",
        "            if await self._refuse_if_quarantined(progress, reply):\n"
        "                selector.release",
        "            if False:\n                selector.release",
        _FORWARDER_TEST,
    ),
    Mutant(
        "every broken connection counts as an end",
        "chestnutfall/control/crash_monitor.py",
        "        if report.refuses:\n",
        "        if True:\n",
        _MONITOR_TEST,
    ),
    Mutant(
        "another incarnation shows nothing",
        "chestnutfall/control/crash_monitor.py",
        "            if broken.address == address and broken_instance != instance:\n",
        "            if False:\n",
        _MONITOR_TEST,
    ),
    Mutant(
        "overlapping ends count each",
        "chestnutfall/control/last_ends.py",
        "        return all(_is_after(run, one) or _is_after(one, run) for one in known)\n",
        "        return True\n",
        _MONITOR_TEST,
    ),
    Mutant(
        "blamed by the first report alone",
        "chestnutfall/control/crash_monitor.py",
        "now_ms >= broken.ended_ms + REPORT_COLLECTION_MS",
        "now_ms >= broken.ended_ms",
        _MONITOR_TEST,
    ),
    Mutant(
        "old breaks are blamed for an end",
        "chestnutfall/control/broken_upstream.py",
        "            if span.broke_ms >= run.broke_ms - SAME_END_WINDOW_MS\n",
        "            if True\n",
        _MONITOR_TEST,
    ),
    Mutant(
        "explained ends stay with those beside",
        "chestnutfall/control/crash_ledger.py",
        "        for instance in ran:\n            self.ends[instance] = EXPLAINED\n",
        "",
        _LEDGER_TEST,
    ),
    Mutant(
        "a tie holds everybody",
        "chestnutfall/control/crash_ledger.py",
        "most >= ENDS_TO_QUARANTINE and len(blamed) == 1",
        "most >= ENDS_TO_QUARANTINE",
        _LEDGER_TEST,
    ),
    Mutant(
        "an offender gets three ends again",
        "chestnutfall/control/crash_ledger.py",
        "        for fingerprint in offenders or self._to_quarantine(end):\n",
        "        for fingerprint in self._to_quarantine(end):\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "an answer clears nothing",
        "chestnutfall/control/crash_ledger.py",
        "                self.ends[instance] = end.without(fingerprint)\n",
        "                pass\n",
        _LEDGER_TEST,
    ),
    Mutant(
        "a gateway that joins is not told of quarantines",
        "chestnutfall/coordination/gateway_broadcaster.py",
        "        if self._state.crashes.changes or self._suspects.suspect_parts:\n",
        "        if False:\n",
        _MONITOR_TEST,
    ),
    Mutant(
        "an ended upstream serves until its heartbeat is late",
        "chestnutfall/coordination/upstream_liveness.py",
        "        is_new = instance not in self._suspected\n        self._suspected.add(instance)\n",
        "        is_new = instance not in self._suspected\n",
        "chestnutfall.tests.test_fleet_leader",
    ),
    Mutant(
        "quarantined completions are sent",
        "chestnutfall/quarantine/request_quarantine.py",
        "        if retry_ms is None:\n            return\n",
        "        return\n",
        "chestnutfall.tests.test_fatal_completions",
    ),
    Mutant(
        "the HTTP client repeats by itself",
        "chestnutfall/wire/single_send_session.py",
        "    session._retry_connection = False\n",
        "",
        "chestnutfall.tests.test_platform",
    ),
)
