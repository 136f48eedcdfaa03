"""Decoding of the JSON configuration documents that operators of the platform send."""

from __future__ import annotations

import logging
import math
from typing import Any

import msgspec

from ..findings.finding import Finding
from ..requests import key_digest
from ..routes import (
    Document,
    DocumentCodec,
    DocumentLimits,
    EngineSpec,
    ModelSpec,
    Organisation,
    Quota,
    QuotaUnit,
    Route,
    RouteKind,
    ServiceSpec,
    UnreadableDocument,
    WeightedService,
)
from ..routes.document_check import DOCUMENT_NAME

log = logging.getLogger(__name__)


class _Model(msgspec.Struct):
    """A base model that the engines of a service can hold."""

    name: str
    weights_mb: float
    # Size of one of its adapters. Of any type, since documents with an unreadable size were
    # accepted before the size was read, and must stay in force.
    adapter_mb: Any = 0.0


class _Engine(msgspec.Struct):
    """Capacity of each engine of a service."""

    slots: int  # requests in one batch, not adapter slots
    kv_capacity: int  # tokens in the KV cache
    weights_mb: float  # memory for the weights of all models and adapters, not of one model
    models: tuple[_Model, ...] = ()
    adapter_slots: int = 0
    loads_per_s: float = 1.0  # of models, over all engines of the service


class _Service(msgspec.Struct):
    """A group of interchangeable upstreams."""

    name: str
    engine: _Engine | None = None  # None for a service that is not model-serving
    # Connections to one upstream, from all gateways together. Of any type, since documents with an
    # unreadable limit were accepted before the limit was read, and must stay in force.
    max_conns: Any = 0


class _Target(msgspec.Struct):
    """One service of a split route and its share of the requests."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """Where requests of one host and path prefix go; decoded to `Route`."""

    name: str
    host: str
    path_prefix: str
    kind: str  # key of `_KINDS`
    timeout_ms: int
    slo_ms: int = 0  # latency objective; of a stream, until its first event
    priority: int = 0  # 0 is the most urgent
    service: str = ""  # set when the route is not split
    backends: tuple[_Target, ...] = ()  # services of a split route, not upstreams
    attempts: int = 1  # most upstreams that may run one request
    resumable: bool = False
    gap_aim_ms: int = 0  # longest pause between two events of a stream that is still on time
    public: bool = False  # whether requests need no key


class _Limits(msgspec.Struct):
    """Bounds on requests of clients; decoded to `DocumentLimits`."""

    max_header_bytes: int = DocumentLimits().max_header_bytes
    max_body_bytes: int = DocumentLimits().max_body_bytes
    header_timeout_ms: int = DocumentLimits().header_timeout_ms
    idle_timeout_ms: int = DocumentLimits().idle_timeout_ms


class _Tenant(msgspec.Struct):
    """An organisation and its quota; decoded to `Organisation`."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None  # overrides that of the route; 0 is the most urgent
    unit: str = QuotaUnit.REQUESTS.value
    rate_per_s: float = 0.0  # in `unit`, not always requests; 0 is unlimited
    burst: float = 0.0  # in `unit`
    plain_tokens: int = 0  # cost of a request that names no tokens, if `unit` is tokens


class _Document(msgspec.Struct):
    """A whole configuration document; decoded to `Document`."""

    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


class DocumentJson(DocumentCodec):
    """Decodes JSON documents; a syntax error, or an unknown kind or unit, is a finding."""

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(_Document)

    def decode(self, content: bytes) -> Document:
        try:
            wire = self._decoder.decode(content)
        except msgspec.MsgspecError as exc:
            raise UnreadableDocument([Finding(DOCUMENT_NAME, "", str(exc))]) from exc
        except UnicodeDecodeError as exc:
            raise UnreadableDocument([Finding(DOCUMENT_NAME, "", f"not UTF-8: {exc}")]) from exc
        return Document(
            wire.version,
            tuple(_route(index, route) for index, route in enumerate(wire.routes)),
            tuple(_service(service) for service in wire.services),
            DocumentLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms,
                wire.limits.idle_timeout_ms,
            ),
            tuple(_organisation(index, tenant) for index, tenant in enumerate(wire.tenants)),
        )


def _route(index: int, wire: _Route) -> Route:
    """Decode the route at index `index`."""
    kind = _KINDS.get(wire.kind)
    if kind is None:
        rule = f"the kind must be one of {', '.join(_KINDS)}"
        raise UnreadableDocument([Finding(DOCUMENT_NAME, f"/routes/{index}/kind", rule, wire.kind)])
    if kind is RouteKind.STREAM and wire.resumable:
        kind = RouteKind.RESUMABLE_STREAM
    targets = tuple(WeightedService(one.service, one.weight) for one in wire.backends)
    return Route(
        wire.name,
        wire.host,
        wire.path_prefix,
        kind,
        wire.timeout_ms,
        wire.slo_ms,
        wire.priority,
        targets or (WeightedService(wire.service, 1.0),),
        wire.attempts,
        wire.gap_aim_ms,
        wire.public,
    )


def _organisation(index: int, wire: _Tenant) -> Organisation:
    """Decode the tenant at index `index`; only digests of its keys are kept."""
    units = {unit.value: unit for unit in QuotaUnit}
    if wire.unit not in units:
        rule = f"the unit must be one of {', '.join(units)}"
        raise UnreadableDocument(
            [Finding(DOCUMENT_NAME, f"/tenants/{index}/unit", rule, wire.unit)]
        )
    quota = Quota(units[wire.unit], wire.rate_per_s, wire.burst, wire.plain_tokens)
    digests = tuple(key_digest(key) for key in wire.api_keys)
    return Organisation(wire.name, digests, wire.priority, quota)


def _service(wire: _Service) -> ServiceSpec:
    engine = wire.engine
    if engine is None:
        return ServiceSpec(wire.name, None, _max_connections(wire))
    models = tuple(ModelSpec(one.name, one.weights_mb, _adapter_mb(one)) for one in engine.models)
    spec = EngineSpec(
        engine.slots,
        engine.kv_capacity,
        models,
        engine.weights_mb,
        engine.adapter_slots,
        engine.loads_per_s,
    )
    return ServiceSpec(wire.name, spec, _max_connections(wire))


def _max_connections(wire: _Service) -> int:
    """Return the limit on connections to each upstream; 0 if it can't be read."""
    limit = wire.max_conns
    is_number = isinstance(limit, int) and not isinstance(limit, bool)
    return max(limit, 0) if is_number else 0


def _adapter_mb(wire: _Model) -> float:
    """Return the size of an adapter of a base model, in MB; 0 if it can't be read."""
    size = wire.adapter_mb
    is_number = isinstance(size, int | float) and not isinstance(size, bool)
    if is_number and 0 <= size < math.inf:
        return float(size)
    log.warning("document: adapter_mb of model %s is %.40r, not a size in MB", wire.name, size)
    return 0.0
