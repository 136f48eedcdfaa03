"""Finding a request's route."""

from __future__ import annotations

from .document import Document
from .route import Route
from .service_spec import ServiceSpec


class RouteTable:
    """Routes of a document by host and prefix, and its services by name."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.services: dict[str, ServiceSpec] = {one.name: one for one in document.services}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """The route of `host` with the longest prefix that begins `path`.

        Every prefix ends with a slash, so only the ends of path segments need to be looked up;
        that takes as many lookups as the path has segments, however many routes there are.
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
