"""Counters of messages sent and received, by type of message."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class Traffic:
    """Counts messages and encoded bytes by class name of the message, since process start."""

    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)

    def record_sent(self, name: str, size: int) -> None:
        """Count a message of `size` bytes sent to a peer."""
        self.sent[name] += 1
        self.sent_bytes[name] += size

    def record_received(self, name: str, size: int) -> None:
        """Count a message of `size` bytes received from a peer."""
        self.received[name] += 1
        self.received_bytes[name] += size

    def counters(self) -> Iterator[tuple[str, int]]:
        """Yield the metric name and the value of each counter."""
        kinds = {
            "messages_sent": self.sent,
            "bytes_sent": self.sent_bytes,
            "messages_received": self.received,
            "bytes_received": self.received_bytes,
        }
        for kind, counts in kinds.items():
            for name, count in counts.items():
                yield f"{kind}_{name}", count
