"""Messages about helpers between gateways and the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HelperGateways:
    """The leader names the gateways that send calls for this one if it is cut off.

    Attributes
    ----------
    addresses : tuple of str
        Their addresses for the internal protocol.
    key : str
        Key of the fleet in this leader's term, which a gateway shows to a helper.
    """

    addresses: tuple[str, ...]
    key: str


@dataclass(frozen=True, slots=True)
class CanHelp:
    """A gateway reports whether it can send calls for others.

    It can't while it is itself cut off from upstreams, or about to end.
    """

    can: bool
