"""Counters, timings and gauges for statsd."""

from __future__ import annotations

from collections import Counter

import statsd

from ..settings.host_port import split_address


class Metrics:
    """Keeps counters in memory, and sends every metric to statsd if it has an address.

    Datagrams are sent without waiting and errors are ignored, so that a slow or missing daemon
    can neither delay nor fail a request.

    Parameters
    ----------
    address : str or None
        `IP:PORT` of the statsd daemon.
    program : str
        Part of the prefix of every metric name.

    Attributes
    ----------
    counts : Counter of str
        All counters, also without a daemon.
    """

    def __init__(self, address: str | None, program: str) -> None:
        self.counts: Counter[str] = Counter()
        self._client: statsd.StatsClient | None = None
        if address is not None:
            ip, port = split_address(address)
            self._client = statsd.StatsClient(ip, port, prefix=f"chestnutfall.{program}")

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to a counter."""
        self.counts[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def timing(self, name: str, ms: float) -> None:
        """Send a duration; it is not kept in memory."""
        if self._client is not None:
            self._client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Send the value of a gauge; it is not kept in memory."""
        if self._client is not None:
            self._client.gauge(name, value)
