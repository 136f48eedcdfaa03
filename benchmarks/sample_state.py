"""Configurations and claims of a given size, for the benchmarks of slopes."""

from __future__ import annotations

import json
import random
from typing import Any

from chestnutfall.config.layered_config import BASE_LAYER
from chestnutfall.control.commands import COMMAND_CODEC, ChangeConfig, TakeClaim
from chestnutfall.control.control_state import ControlState
from chestnutfall.requests import key_digest

ADAPTERS = (3_000, 30_000, 120_000)
"""Numbers of adapters at which slopes are measured."""
SITE = "site"
"""Name of the first data centre."""


def base_layer(adapters: int, sites: int = 1) -> dict[str, Any]:
    """Return a base layer with `adapters` adapters, each with two versions."""
    rng = random.Random(1)
    return {
        "sites": {SITE if number == 0 else f"{SITE}-{number}": {} for number in range(sites)},
        "services": {"redactor": {"kind": "engine", "announce_key_sha256": key_digest("key")}},
        "adapters": {
            f"oficina-{number % 300}-tarea-{number}": {
                "service": "redactor",
                "versions": {str(v): f"sha256:{rng.getrandbits(256):064x}" for v in range(1, 3)},
            }
            for number in range(adapters)
        },
    }


def change(number: int, patch: Any, revision: int) -> bytes:
    """Return the encoded command that applies `patch` to the base layer; `number` makes its id."""
    return COMMAND_CODEC.encode(
        ChangeConfig(f"change {number}", "ana", revision, json.dumps({BASE_LAYER: patch}), "", 0)
    )


def state_of(adapters: int, sites: int = 1) -> ControlState:
    """Return a state whose configuration has `adapters` adapters and `sites` data centres."""
    state = ControlState()
    state.apply(1, change(0, base_layer(adapters, sites), 0))
    return state


def claim(number: int) -> bytes:
    """Return the encoded command that takes a claim; each number is another claim."""
    attempt = f"{number:032x}"
    take = TakeClaim("contratista", attempt, "ab" * 32, attempt, "entry-1#abcdef", 86_400_000)
    return COMMAND_CODEC.encode(take)
