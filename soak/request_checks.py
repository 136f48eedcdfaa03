"""Checks of all requests of a run by what clients got and upstreams ran."""

from __future__ import annotations

from collections.abc import Iterable

from chestnutfall.platform.standin.client import ClientResult

from .end_judge import EndJudge
from .harm import limited
from .limited_periods import limited_periods
from .office import Office
from .request_end import Ending, RequestEnd
from .send_log import SendLog
from .verdict import Verdict

NON_IDEMPOTENT_ROUTES = ("once", "draft")
STATUSES = range(200, 600)
UNREADABLE = "ClientResponseError"
"""Error of the HTTP library for bytes that are no answer."""


def check_answers(office: Office, seen: Iterable[ClientResult], verdict: Verdict) -> None:
    """Note wrong bytes, second runs, and requests that ran though they were called not run."""
    run_registry = office.run_registry
    for finding in run_registry.violations:
        verdict.note_violation(True, finding)
    answered = 0
    for one in seen:
        answered += one.status == 200 and one.complete
        runs = run_registry.runs[one.request_id]
        what = f"{one.route} {one.request_id} status {one.status}, {runs} runs"
        verdict.note_violation(not one.correct, f"wrong bytes: {what}")
        is_none = UNREADABLE in one.reason if one.status == 0 else one.status not in STATUSES
        verdict.note_violation(is_none, f"no answer in the protocol: {what} {one.reason[:40]}")
        runs_once = one.route in NON_IDEMPOTENT_ROUTES
        verdict.note_violation(runs_once and runs > 1, f"ran more than once: {what}")
        verdict.note_violation(one.says_not_run and runs > 0, f"called not run: {what}")
        forwarded = run_registry.organisations.get(one.request_id, one.organisation)
        verdict.note_violation(forwarded != one.organisation, f"told as one of {forwarded}: {what}")
    verdict.counts["answered"] = answered
    verdict.note_violation(answered == 0, "nothing was answered")


def check_ends(office: Office, ends: Iterable[RequestEnd], verdict: Verdict) -> None:
    """Note requests that ended without an answer, or streams before their end, for no cause."""
    logs = {office.client_address(one): one.log_text() for one in office.gateways}
    send_log = SendLog(logs.values())
    for address, text in logs.items():
        for began_s, ended_s in limited_periods(text):
            office.disturbances.record(limited(address), began_s, ended_s)
    all_ends = list(ends)
    # Without its sends, no end could be told from one that a fault explains.
    is_unread = not any(
        send_log.sends(one.request_id) for one in all_ends if one.ending is Ending.WHOLE
    )
    verdict.note_violation(is_unread, "the logs of gateways name no send of an answered request")
    judge = EndJudge(
        office.disturbances,
        office.run_registry,
        send_log,
        office.upstream_addresses(),
        logs,
    )
    judge.check(all_ends, verdict)
