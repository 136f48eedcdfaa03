"""What makes a document invalid as a whole."""

from __future__ import annotations

from collections.abc import Iterator

from ..findings.finding import Finding
from .document import Document

FILE = "document"


def check_document(document: Document) -> Iterator[Finding]:
    """Yield every rule that `document` breaks."""
    services = {service.name for service in document.services}
    places: dict[tuple[str, str], str] = {}
    for at, route in enumerate(document.routes):
        pointer = f"/routes/{at}"
        for target in route.targets:
            if target.service not in services:
                rule = f"must name one of the {len(services)} services of this document"
                yield Finding(FILE, pointer, rule, target.service)
        weights = [target.weight for target in route.targets]
        if min(weights, default=0) < 0 or sum(weights) <= 0:
            yield Finding(FILE, pointer, "weights must not be negative, nor all 0", str(weights))
        if route.timeout_ms <= 0:
            yield Finding(FILE, pointer, "the timeout must be over 0 ms", str(route.timeout_ms))
        place = (route.host, route.path_prefix)
        if place in places:
            rule = f"host and prefix must be unique; {places[place]} has them too"
            yield Finding(FILE, pointer, rule, "".join(place))
        places[place] = route.name
