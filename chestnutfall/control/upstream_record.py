"""One incarnation of an upstream, as the log knows it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream that announced itself.

    Attributes
    ----------
    instance : str
        Unique for each start of the upstream.
    address : str
        IP and port; another incarnation, of any service, may get it later.
    leaving : bool
        Whether it said that it wants no new work; an incarnation never takes that back.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
