"""A complete configuration with its version."""

from __future__ import annotations

from dataclasses import dataclass

from .document_limits import DocumentLimits
from .organisation import Organisation
from .route import Route
from .service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class Document:
    """Routes, services, limits and organisations that are in force together; immutable.

    Attributes
    ----------
    version : int
        Number of this document.
    routes : tuple of Route
        Routes, unique by host and path prefix.
    services : tuple of ServiceSpec
        Services that the routes may name.
    limits : DocumentLimits
        Bounds on each request and its connection.
    organisations : tuple of Organisation
        Callers with keys; when empty, no route needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: DocumentLimits
    organisations: tuple[Organisation, ...] = ()
