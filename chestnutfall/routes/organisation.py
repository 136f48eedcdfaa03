"""Callers of a document, with their keys and quotas."""

from __future__ import annotations

from dataclasses import dataclass

from .quota import NO_QUOTA, Quota


@dataclass(frozen=True, slots=True)
class Organisation:
    """A caller that a document names.

    Attributes
    ----------
    name : str
        Unique name; printable ASCII, as upstreams get it in a header.
    key_digests : tuple of str
        Digests of its keys. The keys themselves are only in the document that operators send, so
        that no log line, error or dump of this object reveals one.
    rank : int or None
        Urgency of its requests, 0 goes first; None when the rank of the route holds.
    quota : Quota
        Rate limit on its requests, over all gateways.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None = None
    quota: Quota = NO_QUOTA
