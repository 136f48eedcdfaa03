"""The closed union of the placer's decisions."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class Grant:
    """A place for the ticket's request on `instance`, which holds the adapter at `version`.

    Attributes
    ----------
    queued_ms, loading_ms : int
        Time that the request waited for an engine, and after that for its adapter and its turn; for
        the logs.
    """

    ticket: str
    instance: str
    version: int
    queued_ms: int
    loading_ms: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuses the ticket's request, which can't be served in its time.

    Attributes
    ----------
    reason : str
        Code of the refusal.
    retry_after_ms : int
        Time after which the caller may send the request again.
    """

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
