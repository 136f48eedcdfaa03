"""The organisations in the documents of the stand-in operator, and their keys."""

from __future__ import annotations

from typing import Any

STEADY, BUSY, LEAVING, FLOODING = "steady", "busy", "leaving", "flooding"
GUEST = "guest"
"""An organisation that comes and goes, with a quota that changes."""
KEYS = {
    STEADY: "key-of-steady-4b1f",
    BUSY: "key-of-busy-77d0",
    LEAVING: "key-of-leaving-e93a",
    FLOODING: "key-of-flooding-0c52",
    GUEST: "key-of-guest-58ae",
}
LEAVES_AT_VERSION = 12
"""From this version of the document on, the key of `LEAVING` is not valid."""
BUSY_PER_S = 10.0
BUSY_BURST = 10.0


def tenants(version: int) -> list[dict[str, Any]]:
    """Return the organisations in version `version` of the document, in its JSON form.

    `GUEST` is not among them; changes add it.
    """
    keys = {name: [key] for name, key in KEYS.items() if name != GUEST}
    if version >= LEAVES_AT_VERSION:
        keys[LEAVING] = []
    limits = {BUSY: {"rate_per_s": BUSY_PER_S, "burst": BUSY_BURST}}
    return [{"name": name, "api_keys": held, **limits.get(name, {})} for name, held in keys.items()]
