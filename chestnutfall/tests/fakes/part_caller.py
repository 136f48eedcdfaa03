"""A caller of prompts with shared parts, in the simulated deployment."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .part_office import PartCall, PartOffice

MAX_ATTEMPTS = 4
PAUSE_MS = (100, 400)
FIRST_PARTS, SECOND_PARTS = 3, 50


@dataclass(slots=True)
class PartCaller:
    """Sends one request after the other, and those whose answer broke off again.

    Attributes
    ----------
    more : tuple of str
        Parts that its prompts have beside a common and a rare one.
    sent : list of PartCall
        First attempts of its requests.
    """

    office: PartOffice
    rng: random.Random
    more: tuple[str, ...] = ()
    sent: list[PartCall] = field(default_factory=list)
    _last: PartCall | None = None
    _due_ms: float = 0.0
    _attempts: int = 0
    _parts: tuple[str, ...] = ()
    _body: bytes = b""

    def tick(self) -> None:
        """Send what is due."""
        now_ms = self.office.clock.now_ms()
        if self._last is None:
            if now_ms >= self._due_ms:
                self._begin()
        elif self._last.reply.ended:
            broke = b"id:" in self._last.reply.body and not self._last.served
            if broke and self._attempts < MAX_ATTEMPTS:
                self._attempt()
            else:
                self._last, self._due_ms = None, now_ms + self.rng.uniform(*PAUSE_MS)

    def _begin(self) -> None:
        rng = self.rng
        self._attempts, self._body = 0, b"%d" % rng.randrange(10**9)
        first, second = f"a{rng.randrange(FIRST_PARTS)}", f"b{rng.randrange(SECOND_PARTS)}"
        self._parts = (first, second, *self.more)
        self.sent.append(self._attempt())

    def _attempt(self) -> PartCall:
        self._attempts += 1
        gateway = self.rng.choice(sorted(self.office.gateways))
        self._last = self.office.send(gateway, self._parts, body=self._body)
        return self._last
