"""The log's record of one incarnation of an upstream."""

from __future__ import annotations

from dataclasses import dataclass

ANONYMOUS = "@"
"""Begins the build key of an upstream that names no version of its software."""


def incarnation_key(name: str, started_ms: int) -> str:
    """Return the key of one start of an upstream; its name alone if it reports no start time."""
    return f"{name}~{started_ms}" if started_ms else name


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One incarnation of an upstream that announced itself.

    Attributes
    ----------
    instance : str
        Unique for each start of the upstream; made by `incarnation_key`.
    service : str
        Service that the upstream belongs to.
    address : str
        IP and port. Another incarnation, of any service, may get the same address later.
    data_centre : str
        Data centre of the upstream.
    leaving : bool
        Whether the upstream announced that it accepts no new work. An incarnation never takes that
        back.
    name : str
        Announced name, which may stay the same over restarts. Empty in old log entries, where
        `instance` is the name.
    started_ms : int
        Start time in ms since 1970; 0 if the upstream reports none, and then each start has a new
        name.
    build : str
        Version of its software, as announced by this incarnation; empty if it names none. The
        versions of models and adapters are others.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    name: str = ""
    started_ms: int = 0
    build: str = ""

    @property
    def announced_name(self) -> str:
        """Name that the upstream announces itself with."""
        return self.name or self.instance

    @property
    def build_key(self) -> str:
        """Identifies its software; one that names no version is like no other incarnation."""
        return self.build or f"{ANONYMOUS}{self.instance}"
