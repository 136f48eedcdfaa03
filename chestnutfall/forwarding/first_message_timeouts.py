"""Timeouts for the first message of a controller."""

from __future__ import annotations

INITIAL_TIMEOUT_MS = 250
"""Ten times the usual answer time; a controller states at once whether it leads."""
MAX_TIMEOUT_MS = 2_000
"""Within this time even a leader that restores a full state has sent a message."""


class FirstMessageTimeouts:
    """Timeout per controller, doubled each time the controller is connected but silent.

    After an outage all gateways connect to the new leader at once, so its first messages are late.
    If every gateway disconnects after the same short time and tries again, the leader is kept busy
    with first messages that no gateway waits for any more, and a quarter of the gateways finds no
    leader for ten seconds although it serves the others. A doubled timeout outlasts this rush after
    two or three tries.
    """

    def __init__(self) -> None:
        self._timeout_ms: dict[str, int] = {}

    def timeout_ms(self, address: str) -> int:
        """Return how long to wait for the controller's next first message."""
        return self._timeout_ms.get(address, INITIAL_TIMEOUT_MS)

    def note_timeout(self, address: str) -> None:
        """Double the timeout of a connected controller that sent nothing in time."""
        self._timeout_ms[address] = min(2 * self.timeout_ms(address), MAX_TIMEOUT_MS)

    def note_message(self, address: str) -> None:
        """Reset the timeout of a controller that sent its first message."""
        self._timeout_ms.pop(address, None)
