"""An upstream as this gateway knows it."""

from __future__ import annotations

from dataclasses import dataclass

from .announcement import Announcement


@dataclass(frozen=True, slots=True)
class Upstream:
    """The newest announcement of an upstream and when it was heard."""

    announcement: Announcement
    heard_ms: int

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.announcement.name

    @property
    def address(self) -> str:
        """IP and port."""
        return self.announcement.address

    @property
    def instance(self) -> str:
        """Name of the upstream's present incarnation."""
        return f"{self.name}/{self.announcement.incarnation}"

    def takes_work(self, now_ms: int) -> bool:
        """Whether new work may be sent to it."""
        heard = now_ms < self.heard_ms + self.announcement.ttl_ms
        return heard and self.announcement.state == "serving"
