"""An answer that broke off, until it is known whether its upstream has ended."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, eq=False)
class BrokenAnswer:
    """An answer that broke off. Two of one request that broke off at one moment are not the same.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's caller, path and body.
    instance : str
        Incarnation of the upstream that ran the request.
    address : str
        Address of that upstream.
    began_ms, broke_ms : int
        Clock times at which the request was sent and its answer broke off.
    rejecting : bool
        Whether the upstream bears few rejections and had just rejected a request.
    parts : tuple of str
        Names of the shared parts of the request's prompt.
    is_silent : bool
        Whether the answer was left since its upstream was silent, and may not have broken off.
    """

    fingerprint: str
    instance: str
    address: str
    began_ms: int
    broke_ms: int
    rejecting: bool
    parts: tuple[str, ...]
    is_silent: bool = False

    def is_replaced_by(self, address: str, instance: str) -> bool:
        """Whether `instance` at `address` has replaced the upstream of this answer."""
        return self.address == address and self.instance != instance
