"""Response headers of upstreams that no part of this gateway knows."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable

log = logging.getLogger(__name__)
MOST_NAMES = 64
"""Far more than one upstream's new release brings; bounds what a faulty one can make us keep."""
MOST_CHARACTERS = 64
"""Of a name; longer ones are cut."""
OTHERS = "others"
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
"""Headers of HTTP that the library reads, or that are for the caller alone."""


class UnreadHeaders:
    """Counts headers that nobody reads by name, and logs each name once.

    An upstream's new release may say something of itself by a header that is passed on to callers
    and obeyed by nobody. Symptom: it goes on to get what it asked not to get, and neither logs nor
    metrics show a reason. Values are left out, since they may be secrets.

    Parameters
    ----------
    read : collection of str
        Names that the dialect knows.
    count : callable
        Adds one to a counter.
    """

    def __init__(self, read: Collection[str], count: Callable[[str], None]) -> None:
        self._read = STANDARD.union(name.lower() for name in read)
        self._count = count
        self._logged: set[str] = set()

    def note(self, service: str, names: Iterable[str]) -> None:
        """Look at the names of an answer's headers."""
        for name in names:
            if name.lower() not in self._read:
                self._note(service, name.lower()[:MOST_CHARACTERS])

    def _note(self, service: str, name: str) -> None:
        if name in self._logged:
            self._count(f"unread_header_{_label(name)}")
        elif len(self._logged) >= MOST_NAMES:
            self._count(f"unread_header_{OTHERS}")
        else:
            self._logged.add(name)
            self._count(f"unread_header_{_label(name)}")
            log.warning("header: service=%s name=%r is read by nobody", service, name)


def _label(name: str) -> str:
    return "".join(one if one.isalnum() else "_" for one in name)
