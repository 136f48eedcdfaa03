"""Documents in the format of operators, and kinds of changes of them."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from typing import Any

Document = dict[str, Any]

HOST = "a.example"
SLOTS = 8
ENGINE_SERVICES = ("drafts", "sums")
PLAIN_SERVICES = ("books", "bills")
LATER = "later"
"""A plain service that the first document doesn't name, whose upstreams are there."""
TIMEOUT_MS = 4_000
CHANGED, CHANGED_PLAIN = "drafts", "books"
"""Paths whose routes change; the other ones lead to services that stay as they are."""
KEPT, KEPT_PLAIN = "sums", "bills"
KEY = "key of ana"


def first_document() -> Document:
    """Return a document with one route to each of four services."""
    engine = {
        "slots": SLOTS,
        "kv_capacity": 100_000,
        "weights_mb": 60,
        "adapter_slots": 3,
        "loads_per_s": 5,
        "models": [{"name": "base", "weights_mb": 50, "load_s": 1}],
    }
    services = [{"name": one, "max_conns": 90, "engine": engine} for one in ENGINE_SERVICES]
    services += [{"name": one, "max_conns": 90} for one in PLAIN_SERVICES]
    routes = [_route(one, "stream") | {"resumable": True} for one in ENGINE_SERVICES]
    routes += [_route(one, "unsafe") for one in PLAIN_SERVICES]
    tenants = [{"name": "ana", "api_keys": [KEY], "rate_per_s": 1e4, "burst": 1e4}]
    limits = {"max_body_bytes": 10_000, "idle_timeout_ms": 15_000}
    first = {"version": 10, "routes": routes, "services": services}
    return deepcopy(first | {"limits": limits, "tenants": tenants})


def _route(service: str, kind: str) -> Document:
    return {
        "name": f"r-{service}",
        "host": HOST,
        "path_prefix": f"/{service}/",
        "kind": kind,
        "timeout_ms": TIMEOUT_MS,
        "slo_ms": 1_000,
        "service": service,
        "attempts": 2,
        "gap_aim_ms": 300,
        "public": True,
    }


def changed(document: Document, change: Callable[[Document], None]) -> Document:
    """Return the next version of a document."""
    new = deepcopy(document)
    change(new)
    new["version"] = document["version"] + 3
    return new


def _each(doc: Document, **values: Any) -> None:
    """Set values of the routes that change."""
    for one in doc["routes"]:
        if one["path_prefix"] in (f"/{CHANGED}/", f"/{CHANGED_PLAIN}/"):
            one.update(values)


def _without_routes(doc: Document) -> None:
    kept = (f"/{KEPT}/", f"/{KEPT_PLAIN}/")
    doc["routes"] = [one for one in doc["routes"] if one["path_prefix"] in kept]


def _move(doc: Document) -> None:
    for one in doc["routes"]:
        one["service"] = {CHANGED: KEPT, CHANGED_PLAIN: KEPT_PLAIN}.get(
            one["service"], one["service"]
        )


def _split(doc: Document, weight: float) -> None:
    for one in doc["routes"]:
        to = {CHANGED: KEPT, CHANGED_PLAIN: KEPT_PLAIN}.get(one["service"])
        if to is not None:
            weights = ((one["service"], weight), (to, 1.0))
            one["backends"] = [{"service": name, "weight": share} for name, share in weights]


def _drop_services(doc: Document) -> None:
    doc["services"] = [
        one for one in doc["services"] if one["name"] not in (CHANGED, CHANGED_PLAIN)
    ]


def _move_and_drop_services(doc: Document) -> None:
    _move(doc)
    _drop_services(doc)


def _drop_all(doc: Document) -> None:
    _without_routes(doc)
    _drop_services(doc)


def _add_route(doc: Document) -> None:
    new = {"name": "r-new", "path_prefix": f"/{CHANGED}/new/"}
    doc["routes"].append(doc["routes"][0] | new)


def add_service(doc: Document) -> None:
    """Name a service whose upstreams are there already, and lead a route to it."""
    doc["services"].append({"name": LATER})
    doc["routes"].append(_route(LATER, "unsafe"))


def _engines(doc: Document, **values: Any) -> None:
    for one in doc["services"]:
        if one["name"] == CHANGED:
            one["engine"] = one["engine"] | values


def _connections(doc: Document) -> None:
    for one in doc["services"]:
        one["max_conns"] = 2


def _limits(doc: Document) -> None:
    doc["limits"] = {"max_header_bytes": 100, "max_body_bytes": 1}
    doc["limits"] |= {"header_timeout_ms": 1, "idle_timeout_ms": 1}


def drop_unused_services(doc: Document) -> None:
    """Drop the services to which no route of those that changed leads any more."""
    for one in doc["routes"]:
        shares = one.get("backends", [])
        if shares:
            one["backends"] = [share for share in shares if share["weight"] > 0]
    _drop_services(doc)


CHANGES: dict[str, Callable[[Document], None]] = {
    "a route is added": _add_route,
    "routes are dropped": _without_routes,
    "routes move to another service": _move,
    "routes are split": lambda doc: _split(doc, 1.0),
    "the weight of the old service is 0": lambda doc: _split(doc, 0.0),
    "routes move and their services go": _move_and_drop_services,
    "routes are dropped and their services go": _drop_all,
    "timeouts are shorter": lambda doc: _each(doc, timeout_ms=50, slo_ms=20, gap_aim_ms=10),
    "timeouts are longer": lambda doc: _each(doc, timeout_ms=60_000, slo_ms=30_000),
    "attempts, rank and kind change": lambda doc: _each(
        doc, attempts=1, priority=9, kind="unsafe", resumable=False
    ),
    "routes are no longer public": lambda doc: _each(doc, public=False),
    "organisations go": lambda doc: doc.update(tenants=[]),
    "keys and quotas change": lambda doc: doc.update(
        tenants=[{"name": "ana", "api_keys": ["other"], "rate_per_s": 0.01, "burst": 1.0}]
    ),
    "connections are bounded": _connections,
    "engines get fewer slots and less memory": lambda doc: _engines(
        doc, slots=1, kv_capacity=100, adapter_slots=1
    ),
    "engines get other models": lambda doc: _engines(
        doc, models=[{"name": "other", "weights_mb": 50, "load_s": 1}]
    ),
    "limits shrink": _limits,
}
