"""Configuration as one versioned document: routes, services, organisations and limits."""

from __future__ import annotations

from .document import Document
from .document_check import check_document
from .document_codec import DocumentCodec, UnreadableDocument
from .document_limits import DocumentLimits
from .engine_spec import EngineSpec
from .model_spec import ModelSpec
from .organisation import Organisation
from .quota import NO_QUOTA, Quota
from .quota_unit import QuotaUnit
from .route import Route
from .route_kind import RouteKind
from .route_table import RouteTable
from .service_spec import ServiceSpec
from .weighted_service import WeightedService

__all__ = [
    "Document",
    "DocumentCodec",
    "DocumentLimits",
    "EngineSpec",
    "ModelSpec",
    "NO_QUOTA",
    "Organisation",
    "Quota",
    "QuotaUnit",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "UnreadableDocument",
    "WeightedService",
    "check_document",
]
