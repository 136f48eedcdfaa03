"""Response headers of upstreams that this gateway does not know."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable

log = logging.getLogger(__name__)
MAX_NAMES = 64
"""Distinct names that are kept; bounds the memory that a faulty upstream can make us use. A new
release of an upstream adds far fewer."""
MAX_NAME_CHARS = 64
"""Longer names are cut."""
OTHERS = "others"
"""Label of names beyond `MAX_NAMES`."""
STANDARD = frozenset(
    {
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "connection",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-length",
        "content-location",
        "content-range",
        "content-type",
        "date",
        "etag",
        "expires",
        "keep-alive",
        "last-modified",
        "location",
        "pragma",
        "retry-after",
        "server",
        "set-cookie",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "vary",
        "via",
        "www-authenticate",
    }
)
"""HTTP headers that the HTTP library reads, or that concern the caller only."""


class UnreadHeaders:
    """Counts the headers of answers that the gateway ignores, and logs each name once.

    A new release of an upstream may add a signal header that the gateway passes on to callers and
    ignores. The upstream then still receives requests that it asked not to receive, and without
    this class neither logs nor metrics would show a reason. Values are not logged, since they may
    be secrets.

    Parameters
    ----------
    read : collection of str
        Header names that the dialect reads, in any case.
    count : callable
        Adds one to the counter of a given name.
    """

    def __init__(self, read: Collection[str], count: Callable[[str], None]) -> None:
        self._read = STANDARD.union(name.lower() for name in read)
        self._count = count
        self._logged: set[str] = set()

    def note(self, service: str, names: Iterable[str]) -> None:
        """Count and log the unknown names among an answer's headers."""
        for name in names:
            if name.lower() not in self._read:
                self._note(service, name.lower()[:MAX_NAME_CHARS])

    def _note(self, service: str, name: str) -> None:
        if name in self._logged:
            self._count(f"unread_header_{_label(name)}")
        elif len(self._logged) >= MAX_NAMES:
            self._count(f"unread_header_{OTHERS}")
        else:
            self._logged.add(name)
            self._count(f"unread_header_{_label(name)}")
            log.warning("header: service=%s name=%r is unknown and ignored", service, name)


def _label(name: str) -> str:
    return "".join(one if one.isalnum() else "_" for one in name)
