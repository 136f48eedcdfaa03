"""How long a gateway waits for the first word of a controller."""

from __future__ import annotations

FIRST_MS = 250
"""A controller says at once whether it leads; ten times its usual answer."""
MOST_MS = 2_000
"""By then even a leader that restores a full state has spoken."""


class LeaderPatience:
    """Doubles the wait at each controller that is connected but silent.

    After an outage all gateways come to a new leader at once, and its first words are late. If
    everyone leaves after the same short time and asks again, the leader is kept busy by greetings
    that nobody waits for. Symptom: a quarter of the gateways finds no leader for ten seconds
    although it serves the others. A doubled wait outlasts the rush after two or three tries.
    """

    def __init__(self) -> None:
        self._wait_ms: dict[str, int] = {}

    def wait_ms(self, address: str) -> int:
        """Longest wait for the next first word."""
        return self._wait_ms.get(address, FIRST_MS)

    def was_silent(self, address: str) -> None:
        """Note that a connected controller said nothing in time."""
        self._wait_ms[address] = min(2 * self.wait_ms(address), MOST_MS)

    def spoke(self, address: str) -> None:
        """Note a first word."""
        self._wait_ms.pop(address, None)
