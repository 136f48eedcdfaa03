"""The adapters of a stand-in engine, and the orders that change them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

MODEL = "base"
MODEL_MB = 50.0
ADAPTER_MB = 2.5
WEIGHTS_MB = 60.0
"""Memory for the model and four adapters, less than the slots allow: a leader that counts slots
only orders too many loads."""
ADAPTER_SLOTS = 6
LOAD_S = 0.05


class AdapterStore:
    """Carries out orders to load and unload, and knows which adapters runs use.

    Parameters
    ----------
    note_violation : callable
        Told of orders that an engine must not get.

    Attributes
    ----------
    versions : dict
        Version of each adapter that is held, by name.
    running : list of str
        Adapter of each run.
    """

    def __init__(self, note_violation: Callable[[str], None]) -> None:
        self._note_violation = note_violation
        self._orders_taken = 0
        self._newest_token = 0
        self._loading: dict[str, int] = {}
        self._unloading: set[str] = set()
        self.versions: dict[str, int] = {}
        self.running: list[str] = []

    def models(self) -> list[dict[str, Any]]:
        """Return what announcements and reports say of the model and its adapters."""
        held = [f"{name}@{version}" for name, version in self.versions.items()]
        return [{"name": MODEL, "version": 1, "adapters": held}]

    def report(self) -> dict[str, Any]:
        """Return what a report says beside the start of the process."""
        coming = [f"{MODEL}/{name}@{version}" for name, version in self._loading.items()]
        return {"models": self.models(), "seq": self._orders_taken, "coming": coming}

    def is_leaving(self, name: str) -> bool:
        """Whether an adapter is unloaded once its runs have ended."""
        return name in self._unloading

    def order(self, order: dict[str, Any]) -> int:
        """Take an order and return the HTTP status of its answer."""
        if order["fencing_token"] < self._newest_token:
            return 412
        self._newest_token = order["fencing_token"]
        if order["expect"] != self._orders_taken:
            return 409
        name = order.get("adapter", "")
        if order["operation"] == "unload":
            return self._unload(name)
        return self._load(name, order.get("version", 1))

    def _load(self, name: str, version: int) -> int:
        if name in self.versions:
            return 200
        held = len(self.versions) + len(self._loading)
        if held >= ADAPTER_SLOTS or MODEL_MB + (held + 1) * ADAPTER_MB > WEIGHTS_MB:
            self._note_violation("ordered to hold more than fits")
        self._orders_taken += 1
        self._loading[name] = version
        asyncio.get_running_loop().call_later(LOAD_S, self._finish_load, name)
        return 202

    def _finish_load(self, name: str) -> None:
        if name in self._loading:
            self.versions[name] = self._loading.pop(name)

    def _unload(self, name: str) -> int:
        if name not in self.versions:
            return 200
        self._orders_taken += 1
        if name in self.running:
            self._unloading.add(name)
            return 202
        del self.versions[name]
        return 200

    def end_run(self, name: str) -> None:
        """Note the end of a run."""
        self.running.remove(name)
        if name in self._unloading and name not in self.running:
            self._unloading.discard(name)
            del self.versions[name]
