"""Messages about links and helpers between gateways and the leader."""

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

    Attributes
    ----------
    leaving : bool
        Whether it is about to end, and helps with no upstream any more.
    """

    can: bool
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class LinkReport:
    """A gateway reports which upstreams it does not reach, and which of these it reaches again.

    Attributes
    ----------
    cut, restored : tuple of str
        Instances of upstreams.
    """

    cut: tuple[str, ...]
    restored: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamHelpers:
    """Gateways that reach an upstream, as far as the leader knows.

    Attributes
    ----------
    addresses : tuple of str
        Their addresses for the internal protocol; empty if no gateway reaches it.
    """

    instance: str
    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HelpersByUpstream:
    """The leader names the helpers for upstreams that this gateway does not reach.

    Attributes
    ----------
    changed : tuple of UpstreamHelpers
        Upstreams whose helpers are new or other ones.
    gone : tuple of str
        Instances that the leader names no helpers for any more.
    """

    changed: tuple[UpstreamHelpers, ...]
    gone: tuple[str, ...] = ()
