"""Proxy that routes calls to plain services by path."""

from __future__ import annotations

import uuid

from aiohttp import web

from ..accounts import MemoryAccount
from ..clock import Clock
from ..config.caller import Caller
from ..config.service import Service
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..membership import GatewayAgent, Upstream, UpstreamRegistry
from ..observability.metrics import Metrics
from ..quarantine import RequestQuarantine
from ..requests import NOT_RUN_STATUSES, Executed, Refusal, digest_of, fingerprint_of, unknown_key
from ..routing import ClaimClient, ClaimRequest
from ..routing.after_answer import after_answer
from ..signals import BACKING_OFF
from ..signals.known_signals import KnownSignals
from .plain_call import PlainCall
from .plain_calls import CallFailed, PlainCalls
from .plain_race import PlainRace

MAX_ATTEMPTS = 3
"""Upstreams that a call is sent to, those beside a silent one included."""


class PlainProxy:
    """Relays each call to an upstream of the service whose path prefix matches.

    An answer is read completely before its first byte goes to the caller, so that a caller gets
    either all of it or a refusal.
    """

    def __init__(
        self,
        agent: GatewayAgent,
        registry: UpstreamRegistry,
        claims: ClaimClient,
        quarantine: RequestQuarantine,
        signals: KnownSignals,
        clock: Clock,
        metrics: Metrics,
        data_centre: str,
        upstreams: UpstreamApi,
        memory: MemoryAccount,
    ) -> None:
        self._agent = agent
        self._registry = registry
        self._claims = claims
        self._quarantine = quarantine
        self._signals = signals
        self._metrics = metrics
        self._data_centre = data_centre
        calls = PlainCalls(upstreams, signals, clock, memory)
        self._race = PlainRace(calls, quarantine, clock, metrics)
        self._round_robin = 0

    async def answer(self, request: web.Request, caller_name: str, body: bytes) -> web.Response:
        """Relay one call and return the upstream's answer.

        A call with an `Idempotency-Key` runs under a claim, at most once over all gateways. Other
        calls go to up to `MAX_ATTEMPTS` upstreams; a non-idempotent one is repeated only when it
        provably did not run.

        Raises
        ------
        Refusal
            When no upstream gave a complete answer; it says whether the call may have run.
        """
        # The caller was known when the request's head was read, and may have gone since.
        caller = self._agent.config.callers.get(caller_name)
        if caller is None:
            raise unknown_key()
        name, service = self._find_service(request.path, caller)
        key = request.headers.get("Idempotency-Key", "")
        at_most_once = request.method in service.non_idempotent_methods or bool(key)
        if at_most_once and service.key_required and not key:
            raise Refusal(400, "idempotency_key_required", "this call needs an Idempotency-Key")
        target = f"{request.method} {request.path_qs}"
        fingerprint = fingerprint_of(caller_name, target, body)
        limits = self._agent.config.limits
        wait_ms = max(limits.request_ms, service.silent_ms)
        call = PlainCall(request, name, service, body, fingerprint, at_most_once, wait_ms)
        if not key:
            return await self._relay(call)
        wanted = ClaimRequest(
            caller_name,
            key,
            digest_of(target, body),
            uuid.uuid4().hex,
            limits.claim_retention_ms,
        )
        async with self._claims.held(wanted):
            return await self._relay(call)

    def _find_service(self, path: str, caller: Caller) -> tuple[str, Service]:
        for name, service in self._agent.config.services.items():
            inside = path == service.path or path.startswith(service.path.rstrip("/") + "/")
            if service.kind == "plain" and inside and caller.may_use_service(name):
                return name, service
        raise Refusal(404, "not_found", f"no service at {path} for this caller")

    async def _relay(self, call: PlainCall) -> web.Response:
        at_most_once = call.at_most_once
        tried: set[str] = set()
        executed = Executed.NO
        message = "no upstream announces itself"
        last_response: web.Response | None = None
        broke = False
        for _ in range(MAX_ATTEMPTS):
            self._quarantine.check(call.fingerprint, executed)
            upstream = self._choose(call.service_name, tried)
            if upstream is None:
                break
            try:
                answer = await self._race.answer(
                    call, upstream, lambda: self._choose(call.service_name, tried)
                )
                last_response = answer.response
                if last_response.status not in NOT_RUN_STATUSES:
                    with after_answer("report of an answer"):
                        self._quarantine.note_answered(call.fingerprint)
                if not answer.turned_away or (at_most_once and not answer.not_run):
                    break
                executed = executed if answer.not_run else Executed.UNKNOWN
            except NotSent as exc:
                message = f"no connection to {upstream.name}: {exc}"
            except AnswerLost as exc:
                message = f"{upstream.name} broke off: {exc}"
                executed, broke = Executed.UNKNOWN, True
                if at_most_once:
                    break
            except CallFailed as exc:
                message = str(exc)
                executed, broke = Executed.UNKNOWN, True
                if at_most_once:
                    break
            self._metrics.count("plain.retries")
        # An upstream's "not run" holds for that upstream alone: after an attempt that broke off,
        # the call may have run at another one.
        if last_response is not None and not (broke and last_response.status in NOT_RUN_STATUSES):
            return last_response
        status = 503 if executed is Executed.NO else 502
        wait_ms = 1000 if executed is Executed.NO or not at_most_once else None
        raise Refusal(status, "service_unavailable", message, executed, wait_ms)

    def _choose(self, service: str, tried: set[str]) -> Upstream | None:
        """Choose the next upstream, round robin, those in this data centre first.

        It is added to `tried`.

        Returns
        -------
        Upstream or None
            None when no upstream is left to send to, or no attempt.

        Raises
        ------
        Refusal
            On the first attempt, when every upstream is backing off or at its limit.
        """
        if len(tried) >= MAX_ATTEMPTS:
            return None
        serving = list(self._registry.serving(service))
        untried = [up for up in serving if up.name not in tried]
        # The call is sent right after this choice, so no later check of the signals is needed.
        sendable = [up for up in untried if self._signals.may_send(up.instance)]
        local = [up for up in sendable if up.announcement.data_centre == self._data_centre]
        preferred = sorted(local or sendable, key=lambda up: up.name)
        self._round_robin += 1
        start = self._round_robin % len(preferred) if preferred else 0
        candidates = [
            *preferred[start:],
            *preferred[:start],
            *(up for up in sendable if up not in preferred),
        ]
        for up in candidates:
            if self._signals.limits.may_send_without_leader(up.instance):
                tried.add(up.name)
                return up
        if serving and not tried:
            raise (
                self._limited_refusal(sendable)
                if sendable
                else self._backing_off_refusal(service, serving)
            )
        return None

    def _backing_off_refusal(self, service: str, upstreams: list[Upstream]) -> Refusal:
        held_back_ms = self._signals.held_back_ms(up.instance for up in upstreams)
        wait_ms = self._signals.caller_retry_ms(service, held_back_ms)
        return Refusal(503, BACKING_OFF, "no upstream wants calls now", Executed.NO, wait_ms)

    def _limited_refusal(self, upstreams: list[Upstream]) -> Refusal:
        wait_ms = min(self._signals.limits.leaderless_interval_ms(up.instance) for up in upstreams)
        message = "each upstream takes no more requests than it gets"
        return Refusal(503, "limited", message, Executed.NO, int(wait_ms))
