"""Limits of each caller: rate over all gateways, concurrency at this gateway."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..clock import Clock
from ..config.caller import Caller
from ..quota.quota_enforcer import Charge, OverQuota, QuotaEnforcer
from ..requests import Executed, Refusal

QUOTA_TIMEOUT_MS = 500
"""How long a request waits for a decision on its caller's rate when no controller answers."""


class CallerLimits:
    """Enforces the concurrency and charges the rate of each caller.

    The concurrency holds at this gateway alone; the rate holds over all gateways together.
    """

    def __init__(self, quotas: QuotaEnforcer, clock: Clock) -> None:
        self._quotas = quotas
        self._clock = clock
        self._running: Counter[str] = Counter()

    @asynccontextmanager
    async def admitted(self, name: str, caller: Caller) -> AsyncIterator[None]:
        """Admit one request, and count it as in progress until the context exits.

        A request that ends with a 503 refusal and provably did not run gets its charge back.

        Raises
        ------
        Refusal
            429 when the caller is over its concurrency or rate; 503 when no controller can say
            what is left of the rate.
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
        until_ms = self._clock.now_ms() + QUOTA_TIMEOUT_MS
        try:
            return await self._quotas.admit(caller.as_organisation(name), None, until_ms)
        except OverQuota as exc:
            wait_ms = exc.retry_after_ms
            if exc.is_used_up:
                message = f"at most {caller.rate_per_s} a second through all gateways"
                raise Refusal(429, "rate_limited", message, retry_after_ms=wait_ms) from exc
            message = "no controller says how much of the rate is left"
            raise Refusal(503, "rate_unknown", message, retry_after_ms=wait_ms) from exc
