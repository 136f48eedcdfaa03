"""A time before everything that a test plays."""

from __future__ import annotations

LONG_AGO_MS = -3_600_000
"""Clock time at which gateways of tests started that are about something else."""
