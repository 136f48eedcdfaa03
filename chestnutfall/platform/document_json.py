"""Configuration documents as the platform's operators send them."""

from __future__ import annotations

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


class _Model(msgspec.Struct):
    name: str
    weights_mb: float


class _Engine(msgspec.Struct):
    slots: int  # requests in one batch
    kv_capacity: int  # tokens
    weights_mb: float  # memory for weights, not the size of one model
    models: tuple[_Model, ...] = ()
    adapter_slots: int = 0
    loads_per_s: float = 1.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: int
    slo_ms: int = 0
    priority: int = 0
    service: str = ""  # set when the route is not split
    backends: tuple[_Target, ...] = ()  # services of a split route, not upstreams
    attempts: int = 1
    resumable: bool = False
    gap_aim_ms: int = 0
    public: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = DocumentLimits().max_header_bytes
    max_body_bytes: int = DocumentLimits().max_body_bytes
    header_timeout_ms: int = DocumentLimits().header_timeout_ms
    idle_timeout_ms: int = DocumentLimits().idle_timeout_ms


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None  # goes before that of the route
    unit: str = QuotaUnit.REQUESTS.value
    rate_per_s: float = 0.0  # in `unit`, not always requests
    burst: float = 0.0
    plain_tokens: int = 0


class _Document(msgspec.Struct):
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
    """JSON documents."""

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
            tuple(_route(at, route) for at, route in enumerate(wire.routes)),
            tuple(_service(service) for service in wire.services),
            DocumentLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms,
                wire.limits.idle_timeout_ms,
            ),
            tuple(_organisation(at, tenant) for at, tenant in enumerate(wire.tenants)),
        )


def _route(at: int, wire: _Route) -> Route:
    kind = _KINDS.get(wire.kind)
    if kind is None:
        rule = f"the kind must be one of {', '.join(_KINDS)}"
        raise UnreadableDocument([Finding(DOCUMENT_NAME, f"/routes/{at}/kind", rule, wire.kind)])
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


def _organisation(at: int, wire: _Tenant) -> Organisation:
    units = {unit.value: unit for unit in QuotaUnit}
    if wire.unit not in units:
        rule = f"the unit must be one of {', '.join(units)}"
        raise UnreadableDocument([Finding(DOCUMENT_NAME, f"/tenants/{at}/unit", rule, wire.unit)])
    quota = Quota(units[wire.unit], wire.rate_per_s, wire.burst, wire.plain_tokens)
    digests = tuple(key_digest(key) for key in wire.api_keys)
    return Organisation(wire.name, digests, wire.priority, quota)


def _service(wire: _Service) -> ServiceSpec:
    engine = wire.engine
    if engine is None:
        return ServiceSpec(wire.name, None)
    models = tuple(ModelSpec(one.name, one.weights_mb) for one in engine.models)
    spec = EngineSpec(
        engine.slots,
        engine.kv_capacity,
        models,
        engine.weights_mb,
        engine.adapter_slots,
        engine.loads_per_s,
    )
    return ServiceSpec(wire.name, spec)
