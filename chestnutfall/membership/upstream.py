"""An upstream known from its announcements."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.upstream_record import UpstreamRecord
from .announcement import Announcement


@dataclass(frozen=True, slots=True)
class Upstream:
    """The newest announcement of an upstream, and the time of its receipt in ms."""

    announcement: Announcement
    received_ms: int

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.announcement.name

    @property
    def address(self) -> str:
        """IP and port of the upstream."""
        return self.announcement.address

    @property
    def instance(self) -> str:
        """Name and incarnation, which together identify one process of the upstream."""
        return f"{self.name}/{self.announcement.incarnation}"

    @property
    def record(self) -> UpstreamRecord:
        """The upstream as sends name it."""
        told = self.announcement
        return UpstreamRecord(self.instance, told.service, told.address, told.data_centre)

    def takes_work(self, now_ms: int) -> bool:
        """Whether the announcement is still valid and the upstream accepts new work."""
        is_current = now_ms < self.received_ms + self.announcement.ttl_ms
        return is_current and self.announcement.state == "serving"
