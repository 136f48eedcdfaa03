"""Names of the periods in which the soak did something to a part of a deployment."""

from __future__ import annotations


def links_cut(gateway: str) -> str:
    """Return the name of the periods in which a gateway's links to upstreams are cut."""
    return f"links cut: {gateway}"


def gateway_killed(gateway: str) -> str:
    """Return the name of the periods in which a gateway doesn't run since it was killed."""
    return f"killed: {gateway}"


def gateway_paused(gateway: str) -> str:
    """Return the name of the periods in which a gateway's process stands still."""
    return f"paused: {gateway}"


def gateway_restarted(gateway: str) -> str:
    """Return the name of the periods in which a gateway drains, ends and starts again."""
    return f"restarted: {gateway}"


def links_harmed(upstream: str) -> str:
    """Return the name of the periods in which an upstream's connections are reset or lose bytes."""
    return f"links harmed: {upstream}"


def closed_idle(upstream: str) -> str:
    """Return the name of the moments in which an upstream closes or misuses idle connections."""
    return f"closed idle: {upstream}"


def ended(upstream: str) -> str:
    """Return the name of the periods from the end of an upstream to its next start."""
    return f"ended: {upstream}"


def silent(upstream: str) -> str:
    """Return the name of the periods in which an upstream or a link to it is silent but sound."""
    return f"silent: {upstream}"


def slow(upstream: str) -> str:
    """Return the name of the periods in which an upstream works several times more slowly."""
    return f"slow: {upstream}"


def limited(gateway: str) -> str:
    """Return the name of the periods in which a gateway closes new connections unread."""
    return f"limited: {gateway}"


def links_held(gateway: str) -> str:
    """Return the name of the periods in which a link of a gateway to an upstream is silent."""
    return f"links held: {gateway}"


HELPERS, LEADERS = "helpers", "leaders"
"""What else can be silent: the links of gateways to a helper, and those to controllers."""
