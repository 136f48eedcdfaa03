"""Ages of the entries of replicated state, by this leader's clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..clock import Clock


class FirstSeen:
    """When this leader first saw each entry of a mapping.

    Ages count from then, as the log holds no times. A change of leader can therefore prolong an
    entry, but never shorten it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_ms: dict[str, int] = {}

    def older_than(
        self, present: Mapping[str, object], age_ms: Callable[[str], int]
    ) -> tuple[str, ...]:
        """Return the names of the entries that are older than `age_ms` of their name."""
        now_ms = self._clock.now_ms()
        for gone in self._seen_ms.keys() - present.keys():
            del self._seen_ms[gone]
        for name in present:
            self._seen_ms.setdefault(name, now_ms)
        return tuple(
            name for name, since_ms in self._seen_ms.items() if now_ms > since_ms + age_ms(name)
        )
