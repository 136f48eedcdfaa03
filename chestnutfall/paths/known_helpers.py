"""The helpers of one gateway, and the order in which it asks them."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence

from ..clock import Clock
from .leader_messages import HelperGateways, HelpersByUpstream

KEYS_KEPT = 3
"""Keys of the last leaders. Gateways follow a new leader at different moments, and two elections
may follow one another within a second."""
REST_MS = 1_000
"""Time for which a helper that failed is asked last; one that does not reach an upstream, for that
upstream only."""
MAX_RESTS = 1_024
"""Pairs of helper and upstream that are kept; the oldest are dropped."""
MAX_NAMED = 4_096
"""Upstreams whose helpers are kept, as many as a leader names. One that ends takes nothing back."""
MAX_SERVED = 4_096
"""Upstreams of which the helper that reached them last is kept."""
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
        self._by_upstream: dict[str, tuple[str, ...]] = {}
        self._pair_rests_ms: dict[tuple[str, str], int] = {}
        self._served_by: dict[str, str] = {}

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

    def apply_links(self, update: HelpersByUpstream) -> None:
        """Apply the helpers that the leader named for single upstreams."""
        for one in update.changed:
            self._by_upstream.pop(one.instance, None)
            self._by_upstream[one.instance] = one.addresses
        for instance in update.gone:
            self._by_upstream.pop(instance, None)
        while len(self._by_upstream) > MAX_NAMED:
            del self._by_upstream[next(iter(self._by_upstream))]

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the fleet, the newest last."""
        return tuple(self._keys)

    def accepts(self, keys: Sequence[str]) -> bool:
        """Whether a gateway with these keys belongs to the fleet."""
        return any(key in self._keys for key in keys)

    def usable(self, instance: str = "") -> bool:
        """Whether some helper, for an upstream if one is named, has not failed just now."""
        return any(not self._rests(address, instance) for address in self._named(instance))

    def candidates(self, instance: str = "") -> list[str]:
        """Return the helpers to ask for a send to an upstream, the best first.

        One that reached it last goes first, then those with the fewest sends of this gateway in
        progress, so that callers of a gateway that is cut off are spread over its helpers.
        """
        order = sorted(
            self._named(instance),
            key=lambda one: (
                self._rests(one, instance),
                self._served_by.get(instance) != one,
                self._in_progress[one],
                self._rng.random(),
            ),
        )
        return order[:MAX_ASKED]

    def _named(self, instance: str) -> tuple[str, ...]:
        """Return the helpers that reach an upstream; all if the leader named none for it."""
        return self._by_upstream.get(instance, self._addresses)

    def began(self, address: str) -> None:
        """Count a send through a helper."""
        self._in_progress[address] += 1

    def ended(self, address: str) -> None:
        """Count the end of a send through a helper."""
        self._in_progress[address] -= 1
        if self._in_progress[address] <= 0:
            del self._in_progress[address]

    def note_served(self, address: str, instance: str) -> None:
        """Record that a helper reached an upstream."""
        self._served_by.pop(instance, None)
        self._served_by[instance] = address
        if len(self._served_by) > MAX_SERVED:
            del self._served_by[next(iter(self._served_by))]

    def note_not_reached(self, address: str, instance: str) -> None:
        """Record that a helper does not reach an upstream."""
        if self._served_by.get(instance) == address:
            del self._served_by[instance]
        pair = address, instance
        self._pair_rests_ms.pop(pair, None)
        self._pair_rests_ms[pair] = self._clock.now_ms() + REST_MS
        if len(self._pair_rests_ms) > MAX_RESTS:
            del self._pair_rests_ms[next(iter(self._pair_rests_ms))]

    def note_failed(self, address: str) -> None:
        """Record that a helper could not be reached, or sends nothing for this gateway."""
        self._rest_until_ms[address] = self._clock.now_ms() + REST_MS

    def _rests(self, address: str, instance: str) -> bool:
        now_ms = self._clock.now_ms()
        pair_rests_ms = self._pair_rests_ms.get((address, instance), 0)
        return max(self._rest_until_ms.get(address, 0), pair_rests_ms) > now_ms
