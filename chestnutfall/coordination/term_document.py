"""The document as one leader term reads it."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from ..clock import Clock
from ..control.control_state import ControlState
from ..control.upstream_record import UpstreamRecord
from ..routes import DocumentCodec, RouteTable, ServiceSpec, UnreadableDocument
from .document_compression import decompress_document
from .order_dispatcher import EngineRecord
from .retired_services import RetiredServices

log = logging.getLogger(__name__)


class TermDocument:
    """The services of the document in force, and those that it has just dropped."""

    def __init__(self, state: ControlState, codec: DocumentCodec, clock: Clock) -> None:
        self._state = state
        self._codec = codec
        self._table: RouteTable | None = None
        self._retired = RetiredServices(clock)

    def load(self) -> RouteTable | None:
        """Decode the stored document and return it if it is newer and readable, else None."""
        held = self._state.document
        known = self._table.document.version if self._table is not None else -1
        # A document that is stored again, or an older one, changes nothing. Decoding one of some
        # thousand routes takes milliseconds during which no request is placed.
        if held.version <= known:
            return None
        try:
            document = self._codec.decode(decompress_document(held.content))
        except UnreadableDocument as exc:
            # A controller of a later release has checked it. An exception here would end the
            # replica, and each one that applies the document.
            log.error("document: unreadable version=%d stays=%d: %s", held.version, known, exc)
            return None
        former, self._table = self._table, RouteTable(document)
        if former is not None:
            self._retired.note_change(former, self._table)
        return self._table

    def is_configured(self, service: str) -> bool:
        """Whether upstreams of a service may serve; True while there is no document."""
        return self._table is None or self._service(service) is not None

    def engines_of(self, serving: Iterable[UpstreamRecord]) -> Iterator[EngineRecord]:
        """Yield the engines among the upstreams that serve."""
        for record in serving:
            spec = self._service(record.service)
            if spec is not None and spec.engine is not None:
                yield EngineRecord(record, spec.engine)

    def _service(self, name: str) -> ServiceSpec | None:
        """Return a service of the document in force, or one that it has just dropped."""
        spec = self._table.services.get(name) if self._table is not None else None
        return spec if spec is not None else self._retired.get(name)
