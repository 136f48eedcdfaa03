"""The closed union of what the placer decides."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class Grant:
    """The ticket's request may go to `instance`, which holds the adapter at `version`.

    Attributes
    ----------
    queued_ms, loading_ms : int
        How long it waited for a place, and then for the adapter; for the logs.
    """

    ticket: str
    instance: str
    version: int
    queued_ms: int
    loading_ms: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The ticket's request can't be served in its time; when its caller may come back."""

    ticket: str
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order `instance` to load an adapter; version 0 is the newest."""

    instance: str
    adapter: AdapterName
    version: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order `instance` to drop an adapter."""

    instance: str
    adapter: AdapterName


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order `instance` to load a base model."""

    instance: str
    model: str


Order = LoadAdapter | UnloadAdapter | LoadModel
Decision = Grant | Reject | Order
