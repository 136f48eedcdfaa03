"""What the leader told this gateway last."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterable, Sequence

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..coordination.document_box import unpack
from ..coordination.messages import (
    Controllers,
    GatewayCount,
    HoldingsChange,
    PutInForce,
    UpstreamsChange,
    UpstreamsPart,
)
from ..placement import AdapterName, ReadyAdapter
from ..routes import DocumentCodec, RouteTable
from .holders import Holders
from .known_upstreams import KnownUpstreams
from .recent_gateways import RecentGateways
from .route_source import RouteSource

log = logging.getLogger(__name__)
News = PutInForce | Controllers | UpstreamsPart | UpstreamsChange | GatewayCount | HoldingsChange


class FleetKnowledge(RouteSource):
    """Routes, upstreams and holdings; they stay in use while no leader can be reached.

    Attributes
    ----------
    controllers : tuple of str
        Addresses of all controllers.
    """

    def __init__(self, codec: DocumentCodec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self.controllers: tuple[str, ...] = ()
        self._gateways = RecentGateways(clock)
        self._holders = Holders()
        self._upstreams = KnownUpstreams()
        self._has_table = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the document in force here; -1 before the first."""
        return self.table.document.version if self.table is not None else -1

    @property
    def gateways(self) -> int:
        """Gateways there are, as far as is known."""
        return self._gateways.present

    def upstreams(self, service: str) -> Sequence[UpstreamRecord]:
        """Upstreams of a service that take work."""
        return self._upstreams.of(service)

    def upstream(self, instance: str) -> UpstreamRecord | None:
        """The upstream that takes work under this instance."""
        return self._upstreams.get(instance)

    def holders(self, adapter: AdapterName) -> Iterable[ReadyAdapter]:
        """Engines that held an adapter when the leader last told."""
        return self._holders.of(adapter)

    async def until_table(self, within_ms: float) -> RouteTable | None:
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(within_ms, self._has_table.wait())
        return self.table

    def take(self, news: News) -> None:
        """Take over what the leader tells."""
        match news:
            case PutInForce(version, content):
                # A document on its way from an earlier leader may come after a newer one.
                if version > self.version:
                    self._put_in_force(version, content)
            case Controllers(addresses):
                self.controllers = addresses
            case UpstreamsPart() | UpstreamsChange():
                self._upstreams.take(news)
            case GatewayCount(gateways):
                self._gateways.tell(gateways)
            case HoldingsChange():
                self._holders.take(news)

    def _put_in_force(self, version: int, content: bytes) -> None:
        self.table = RouteTable(self._codec.decode(unpack(content)))
        self._has_table.set()
        log.info("document: in force version=%d", version)
