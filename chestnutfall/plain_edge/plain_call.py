"""A call to a plain service."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from ..config.service import Service


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A caller's call, and what holds for each send of it.

    Attributes
    ----------
    service_name, service : str, Service
        The service that it goes to.
    fingerprint : str
        Digest of caller, target and body.
    at_most_once : bool
        Whether it must not be repeated unless it provably did not run.
    wait_ms : int
        Longest time without data from an upstream before its answer counts as lost.
    """

    request: web.Request
    service_name: str
    service: Service
    body: bytes
    fingerprint: str
    at_most_once: bool
    wait_ms: int
