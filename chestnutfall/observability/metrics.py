"""Counters and timings for statsd."""

from __future__ import annotations

from collections import Counter

import statsd

from ..settings.host_port import split_address


class Metrics:
    """Counts in memory, and to statsd if an address is set.

    Datagrams are sent without waiting and a missing daemon goes unnoticed, so that metrics can
    neither slow nor break a request.
    """

    def __init__(self, address: str | None, program: str) -> None:
        self.counts: Counter[str] = Counter()
        self._client: statsd.StatsClient | None = None
        if address is not None:
            ip, port = split_address(address)
            self._client = statsd.StatsClient(ip, port, prefix=f"chestnutfall.{program}")

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def timing(self, name: str, ms: float) -> None:
        """Report a duration."""
        if self._client is not None:
            self._client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        if self._client is not None:
            self._client.gauge(name, value)
