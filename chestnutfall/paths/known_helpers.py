"""The helpers of one gateway, and the order in which it asks them."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence

from ..clock import Clock
from .leader_messages import HelperGateways

KEYS_KEPT = 3
"""Keys of the last leaders. Gateways follow a new leader at different moments, and two elections
may follow one another within a second."""
REST_MS = 1_000
"""Time for which a helper that failed is asked last."""
MAX_ASKED = 3
"""Helpers asked for one send, each time that one can't. An upstream may have lost its links to most
gateways, and one that has sent nothing costs only time."""


class KnownHelpers:
    """Addresses and keys as last received from a leader; they stay in use without one."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._addresses: tuple[str, ...] = ()
        self._keys: deque[str] = deque(maxlen=KEYS_KEPT)
        self._in_progress: Counter[str] = Counter()
        self._rest_until_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._addresses)

    def apply(self, update: HelperGateways) -> None:
        """Apply the helpers that the leader named."""
        self._addresses = update.addresses
        if update.key not in self._keys:
            self._keys.append(update.key)
        self._rest_until_ms = {
            address: until_ms
            for address, until_ms in self._rest_until_ms.items()
            if address in update.addresses
        }

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the fleet, the newest last."""
        return tuple(self._keys)

    def accepts(self, keys: Sequence[str]) -> bool:
        """Whether a gateway with these keys belongs to the fleet."""
        return any(key in self._keys for key in keys)

    def usable(self) -> bool:
        """Whether some helper has not failed just now."""
        return any(not self._rests(address) for address in self._addresses)

    def candidates(self) -> list[str]:
        """Return the helpers to ask for a send, the best first.

        Those with the fewest sends of this gateway in progress go first, so that callers of a
        gateway that is cut off are spread over its helpers.
        """
        order = sorted(
            self._addresses,
            key=lambda one: (self._rests(one), self._in_progress[one], self._rng.random()),
        )
        return order[:MAX_ASKED]

    def began(self, address: str) -> None:
        """Count a send through a helper."""
        self._in_progress[address] += 1

    def ended(self, address: str) -> None:
        """Count the end of a send through a helper."""
        self._in_progress[address] -= 1
        if self._in_progress[address] <= 0:
            del self._in_progress[address]

    def note_failed(self, address: str) -> None:
        """Record that a helper could not be reached, or can't reach upstreams."""
        self._rest_until_ms[address] = self._clock.now_ms() + REST_MS

    def _rests(self, address: str) -> bool:
        return self._rest_until_ms.get(address, 0) > self._clock.now_ms()
