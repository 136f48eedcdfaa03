"""Prompt parts of answers that broke off, until it is known whether their engines ended."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

MAX_QUESTIONS = 4_096
"""Parts that are in question at a time; about 300 bytes each."""


@dataclass(frozen=True, slots=True)
class _Question:
    """Clock times of a broken answer, and after which its question is no longer open.

    Until it is settled, nobody knows whether the engine of that answer has ended.
    """

    since_ms: int
    until_ms: int


class OpenQuestions:
    """Which prompt parts may have ended an engine that gateways still look at."""

    def __init__(self) -> None:
        # By part and engine. A part moves to the end with each question, so that the one that was
        # asked about longest ago is dropped first.
        self._by_part: dict[str, dict[str, _Question]] = {}
        # Clock time before which no question can be old, so that none has to be looked at.
        self._old_from_ms = 0

    def __len__(self) -> int:
        return len(self._by_part)

    def ask(self, parts: Iterable[str], instance: str, since_ms: int, until_ms: int) -> None:
        """Record that it is not known whether an engine that ran these parts has ended."""
        self._old_from_ms = min(self._old_from_ms, until_ms) if self._by_part else until_ms
        for part in parts:
            asked = self._by_part.pop(part, {})
            self._by_part[part] = asked | {instance: _Question(since_ms, until_ms)}
        while len(self._by_part) > MAX_QUESTIONS:
            del self._by_part[next(iter(self._by_part))]

    def settle(self, parts: Iterable[str], *instances: str) -> None:
        """Record that it is known of these engines whether they ended."""
        for part in parts:
            asked = self._by_part.get(part, {})
            for instance in instances:
                asked.pop(instance, None)
            if not asked:
                self._by_part.pop(part, None)

    def clear(self, parts: Iterable[str]) -> None:
        """Record that a request with these parts was answered in full."""
        for part in parts:
            self._by_part.pop(part, None)

    def take_old(self, now_ms: int) -> Iterator[tuple[str, str]]:
        """Yield and drop the questions that stayed open for too long, each as part and engine.

        Called for each request that waits, so it looks at them only when one may be old.
        """
        if not self._by_part or now_ms < self._old_from_ms:
            return
        for part, asked in list(self._by_part.items()):
            old = [instance for instance, one in asked.items() if now_ms >= one.until_ms]
            for instance in old:
                yield part, instance
            self.settle([part], *old)
        left = (one.until_ms for asked in self._by_part.values() for one in asked.values())
        self._old_from_ms = min(left, default=0)

    def includes_any(self, parts: Collection[str]) -> bool:
        """Whether one of these parts is in question."""
        return any(one in self._by_part for one in parts)

    def lasting(self, oldest_ms: int) -> tuple[str, ...]:
        """Return the parts that have been in question since a clock time or longer."""
        return tuple(
            part
            for part, asked in self._by_part.items()
            if min(one.since_ms for one in asked.values()) <= oldest_ms
        )
