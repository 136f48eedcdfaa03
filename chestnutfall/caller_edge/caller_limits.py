"""Rate of each caller through all gateways, and its requests at once at this one."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..clock import Clock
from ..config.caller import Caller
from ..quota.quota_enforcer import Charge, OverQuota, QuotaEnforcer
from ..requests import Executed, Refusal

WAIT_MS = 500
"""How long a request waits for a word on its caller's rate, where there is no controller."""


class CallerLimits:
    """Counts requests in progress, and takes each out of its caller's rate."""

    def __init__(self, quotas: QuotaEnforcer, clock: Clock) -> None:
        self._quotas = quotas
        self._clock = clock
        self._running: Counter[str] = Counter()

    @asynccontextmanager
    async def admitted(self, name: str, caller: Caller) -> AsyncIterator[None]:
        """Count a request in for as long as the context lasts.

        Raises
        ------
        Refusal
            When the caller is over a limit.
        """
        if self._running[name] >= caller.concurrency:
            raise Refusal(
                429,
                "concurrency_limited",
                f"at most {caller.concurrency} at once",
                retry_after_ms=1000,
            )
        self._running[name] += 1
        try:
            charge = await self._charge(name, caller)
            try:
                yield
            except Refusal as refusal:
                if refusal.status == 503 and refusal.executed is Executed.NO:
                    self._quotas.give_back(charge, caller.as_organisation(name).quota)
                raise
        finally:
            self._running[name] -= 1
            if not self._running[name]:
                del self._running[name]

    async def _charge(self, name: str, caller: Caller) -> Charge:
        until_ms = self._clock.now_ms() + WAIT_MS
        try:
            return await self._quotas.admit(caller.as_organisation(name), None, until_ms)
        except OverQuota as exc:
            wait_ms = exc.retry_after_ms
            if exc.is_used_up:
                message = f"at most {caller.rate_per_s} a second through all gateways"
                raise Refusal(429, "rate_limited", message, retry_after_ms=wait_ms) from exc
            message = "no controller says how much of the rate is left"
            raise Refusal(503, "rate_unknown", message, retry_after_ms=wait_ms) from exc
