"""An operator of the platform, who sends configuration documents and reads them back."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import aiohttp

from .adapter_store import ADAPTER_MB, ADAPTER_SLOTS, MODEL, MODEL_MB, WEIGHTS_MB
from .tenants import tenants
from .upstream import BATCH

HOST = "office.example"
ENGINES = "drafts"
PLAIN = "counter"


def document(version: int, change: Callable[[dict[str, Any]], None] = lambda whole: None) -> bytes:
    """Return a valid document; each version has a route of its own. `change` is applied to it."""
    engine = {
        "slots": BATCH,
        "kv_capacity": 100_000,
        "weights_mb": WEIGHTS_MB,
        "adapter_slots": ADAPTER_SLOTS,
        "loads_per_s": 5,
        "models": [{"name": MODEL, "weights_mb": MODEL_MB, "load_s": 1, "adapter_mb": ADAPTER_MB}],
    }
    common = {"host": HOST, "timeout_ms": 3000, "slo_ms": 300, "gap_aim_ms": 300, "attempts": 2}
    routes = [
        common | {"name": "once", "path_prefix": "/once/", "kind": "unsafe", "service": PLAIN},
        common | {"name": "again", "path_prefix": "/again/", "kind": "safe", "service": PLAIN},
        common | {"name": "draft", "path_prefix": "/draft/", "kind": "stream", "service": ENGINES},
        common
        | {"name": "long", "path_prefix": "/long/", "kind": "stream", "service": ENGINES}
        | {"resumable": True},
        common
        | {"name": f"v{version}", "path_prefix": f"/v{version}/", "kind": "safe"}
        | {"service": PLAIN},
    ]
    services: list[dict[str, Any]] = [{"name": ENGINES, "engine": engine}, {"name": PLAIN}]
    whole = {"version": version, "routes": routes, "services": services}
    whole["tenants"] = tenants(version)
    change(whole)
    return json.dumps(whole).encode()


class StandInOperator:
    """Sends documents to random controllers and reads them back."""

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.5))

    async def put(
        self, version: int, change: Callable[[dict[str, Any]], None] = lambda whole: None
    ) -> bool:
        """Send version `version` once, without a repeat; return whether it was acknowledged.

        Parameters
        ----------
        change : callable
            Changes the usual document of this version.
        """
        try:
            call = self._session.put(self._url(), data=document(version, change))
            async with call as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def read(self) -> int | None:
        """Read the version in force from some controller; None if it does not answer with one."""
        try:
            async with self._session.get(self._url()) as resp:
                return int((await resp.json())["version"]) if resp.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _url(self) -> str:
        return f"http://{self._rng.choice(self._addresses)}/v1/config"

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()
