"""Adapter to the platform: its headers, JSON fields, paths and settings file.

Each of them is decoded to a product type here, and product types are encoded back. The adapter
makes no decisions: routing, access and the choice of answers belong to the rest of the product. No
other package uses the platform's names.
"""

from __future__ import annotations

# Imported before the libraries, since it records when the process started.
from ..clock import process_start as process_start
from ..programs.certificates import import_http_without_certificates

# The platform uses plain HTTP only, so no certificates are loaded.
import_http_without_certificates()
