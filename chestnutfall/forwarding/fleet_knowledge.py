"""Fleet state as last received from the leader."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterable, Sequence

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..coordination.document_compression import decompress_document
from ..coordination.messages import (
    Controllers,
    GatewayCount,
    HoldingsChange,
    PutInForce,
    UpstreamsChange,
    UpstreamsPart,
)
from ..placement import AdapterName, ReadyAdapter
from ..routes import DocumentCodec, RouteTable, UnreadableDocument
from .holders import Holders
from .known_upstreams import KnownUpstreams
from .recent_gateways import RecentGateways
from .route_source import RouteSource

log = logging.getLogger(__name__)
FleetUpdate = (
    PutInForce | Controllers | UpstreamsPart | UpstreamsChange | GatewayCount | HoldingsChange
)


class FleetKnowledge(RouteSource):
    """Routes, upstreams and adapter holders, as last received from a leader.

    The state stays in use while no leader can be reached.

    Attributes
    ----------
    controllers : tuple of str
        Addresses of all controllers.
    leader_reads_loads : bool
        Whether the leader understands reports of engines' loads.
    """

    def __init__(self, codec: DocumentCodec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self.controllers: tuple[str, ...] = ()
        self.leader_reads_loads = False
        self._gateways = RecentGateways(clock)
        self._holders = Holders()
        self._upstreams = KnownUpstreams()
        self._has_table = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the document in force on this gateway; -1 before the first one."""
        return self.table.document.version if self.table is not None else -1

    @property
    def mixed(self) -> frozenset[str]:
        """Services that have had several builds lately."""
        return self._upstreams.mixed

    @property
    def gateways(self) -> int:
        """Number of gateways that share budgets and limits, this one included."""
        return self._gateways.present

    def upstreams(self, service: str) -> Sequence[UpstreamRecord]:
        """Return the upstreams of a service that accept work."""
        return self._upstreams.of(service)

    def upstream(self, instance: str) -> UpstreamRecord | None:
        """Return the upstream with this instance id; None if it does not accept work."""
        return self._upstreams.get(instance)

    def all_upstreams(self) -> Iterable[UpstreamRecord]:
        """Return the upstreams of all services that accept work."""
        return self._upstreams.all()

    def holders(self, adapter: AdapterName) -> Iterable[ReadyAdapter]:
        """Return the engines that hold an adapter, as last received from a leader."""
        return self._holders.of(adapter)

    async def wait_for_table(self, within_ms: float) -> RouteTable | None:
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(within_ms, self._has_table.wait())
        return self.table

    def apply(self, update: FleetUpdate) -> None:
        """Apply an update from the leader."""
        match update:
            case PutInForce(version, content):
                # A document sent by an earlier leader may arrive after a newer one.
                if version > self.version:
                    self._put_in_force(version, content)
            case Controllers(addresses, reads_loads):
                self.controllers = addresses
                self.leader_reads_loads = reads_loads
            case UpstreamsPart() | UpstreamsChange():
                self._upstreams.apply(update)
            case GatewayCount(gateways):
                self._gateways.note_count(gateways)
            case HoldingsChange():
                self._holders.apply(update)

    def _put_in_force(self, version: int, content: bytes) -> None:
        try:
            document = self._codec.decode(decompress_document(content))
        except UnreadableDocument as exc:
            # Controllers of a later release may accept what this one can't read. An exception would
            # end the stream to the leader, and each one after it, with all calls that wait for it.
            log.error("document: unreadable version=%d stays=%d: %s", version, self.version, exc)
            return
        self.table = RouteTable(document)
        self._has_table.set()
        log.info("document: in force version=%d", version)
