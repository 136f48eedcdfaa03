"""A simulated deployment whose upstreams declare limits; its calls skip the forwarder."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace

from ...forwarding.place import NoPlace, SelectionCriteria
from ...placement import RunOutcome
from ...placement.run_times import RunTimes
from ...signals import UpstreamLoad
from .placing_gateway import PlacingGateway
from .placing_office import PlacingOffice
from .signalling_upstream import ENGINES, PLAIN

HEAD_MS = 20
RUN_MS = 60
MAX_RUNNING = 6


@dataclass(frozen=True, slots=True)
class Refused:
    """A call that got no placement.

    Attributes
    ----------
    waited_ms : int
        Time from the request for a placement to the refusal.
    retry_after_ms : int
        Time after which the caller is told to retry.
    """

    organisation: str
    reason: str
    waited_ms: int
    retry_after_ms: int


class LimitOffice(PlacingOffice):
    """Gateways that request placements and send to simulated upstreams.

    Attributes
    ----------
    refused : list of Refused
        Calls that got no placement.
    served : Counter of str
        Number of placed calls by organisation.
    fail_fraction : float
        Fraction of runs that break; their calls are sent once more.
    head_ms : int
        Time from a send to the head of its answer, which declares the limit.
    """

    def __init__(self, gateways: int, engines: int = 3, plain: int = 3, seed: int = 1) -> None:
        self.refused: list[Refused] = []
        self.served: Counter[str] = Counter()
        self.fail_fraction = 0.0
        self.head_ms = HEAD_MS
        super().__init__(gateways, engines, plain, seed)

    async def _call(self, service: str, gateway: PlacingGateway, organisation: str) -> None:
        wanted = self._selection_criteria(service, self.clock.now_ms(), organisation)
        failed_at = await self._send(wanted, gateway)
        if failed_at:
            await self._send(replace(wanted, avoid=(failed_at,)), gateway)

    async def _send(self, wanted: SelectionCriteria, gateway: PlacingGateway) -> str:
        """Send a call once; return the upstream that failed it, or an empty string."""
        began_ms = self.clock.now_ms()
        organisation = wanted.organisation
        selector = gateway.selectors[wanted.service.name]
        try:
            place = await selector.select(wanted)
        except NoPlace as exc:
            waited_ms = self.clock.now_ms() - began_ms
            self.refused.append(Refused(organisation, exc.reason, waited_ms, exc.retry_after_ms))
            return ""
        self.served[organisation] += 1
        upstream = self.upstreams[place.upstream.instance]
        sent_ms = self.clock.now_ms()
        upstream.arrivals.append((sent_ms, gateway.name))
        upstream.running += 1
        await self.clock.sleep_ms(self.head_ms)
        load = UpstreamLoad(upstream.running, 0, MAX_RUNNING)
        fails = self.rng.random() < self.fail_fraction
        signals = upstream.signals(500 if fails else 200)
        gateway.signals.observe(place.upstream.instance, signals, sent_ms, succeeded=not fails)
        await self.clock.sleep_ms(RUN_MS)
        upstream.running -= 1
        outcome = RunOutcome.BROKEN if fails else RunOutcome.DONE
        selector.release(place, outcome, RunTimes(HEAD_MS, 0.0, 0.0), load)
        return place.upstream.instance if fails else ""


__all__ = ["ENGINES", "PLAIN", "LimitOffice"]
