"""Lookup of a request's route."""

from __future__ import annotations

from .document import Document
from .organisation import Organisation
from .route import Route
from .service_spec import ServiceSpec


class RouteTable:
    """Lookup tables of one document.

    Attributes
    ----------
    document : Document
        The document that the tables are built from.
    services : dict of str to ServiceSpec
        Services by name.
    organisations : dict of str to Organisation
        Organisations by name.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.services: dict[str, ServiceSpec] = {item.name: item for item in document.services}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        self.organisations: dict[str, Organisation] = {
            item.name: item for item in document.organisations
        }
        self._by_key: dict[str, Organisation] = {
            digest: item for item in document.organisations for digest in item.key_digests
        }

    def needs_key(self, route: Route) -> bool:
        """Return whether a request on `route` must carry the key of an organisation."""
        return bool(self.document.organisations) and not route.public

    def organisation_by_key(self, key_digest: str) -> Organisation | None:
        """Return the organisation that holds the key with this digest; None if none does."""
        return self._by_key.get(key_digest)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`; None if none matches.

        Every prefix ends with a slash, so only the ends of path segments are looked up: one
        lookup for each segment of the path, however many routes there are.
        """
        routes = self._routes.get(host)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
