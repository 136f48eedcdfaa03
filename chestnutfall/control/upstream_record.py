"""One incarnation of an upstream, as the log knows it."""

from __future__ import annotations

from dataclasses import dataclass


def incarnation(name: str, started_ms: int) -> str:
    """The key of one start of an upstream; the name itself where no start is told."""
    return f"{name}~{started_ms}" if started_ms else name


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream that announced itself.

    Attributes
    ----------
    instance : str
        Unique for each start of the upstream, by `incarnation`.
    address : str
        IP and port; another incarnation, of any service, may get it later.
    leaving : bool
        Whether it said that it wants no new work; an incarnation never takes that back.
    name : str
        Name that it announces, which it may keep over its restarts; empty where that is
        `instance`, as in logs written before names were told apart.
    started_ms : int
        Unix time of its start; 0 where it tells none, and each start then has a new name.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    name: str = ""
    started_ms: int = 0

    @property
    def announced_name(self) -> str:
        """The name under which the upstream itself knows itself."""
        return self.name or self.instance
