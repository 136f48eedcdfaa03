"""The office's configuration: layers, merged sites, typed entries, validation."""

from __future__ import annotations

from .adapter import Adapter
from .caller import Caller
from .content_digest import ContentDigest
from .layered_config import BASE_LAYER, LayeredConfig, check_patch, site_layer
from .limits import Limits
from .merge_diff import merge_diff
from .operator import Operator, Role
from .policy import Policy
from .priority_class import PriorityClass
from .service import Service
from .site_config import SiteConfig
from .typed_config import TypedConfig
from .validation import validate_site

__all__ = [
    "BASE_LAYER",
    "Adapter",
    "Caller",
    "ContentDigest",
    "LayeredConfig",
    "Limits",
    "Operator",
    "Policy",
    "PriorityClass",
    "Role",
    "Service",
    "SiteConfig",
    "TypedConfig",
    "check_patch",
    "merge_diff",
    "site_layer",
    "validate_site",
]
