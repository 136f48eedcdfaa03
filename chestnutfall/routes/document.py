"""A whole configuration under one version."""

from __future__ import annotations

from dataclasses import dataclass

from .document_limits import DocumentLimits
from .route import Route
from .service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class Document:
    """Routes, services and limits that are in force together."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: DocumentLimits
