"""Parts of prompts that may end the engines that write on them, until they are answered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..requests import part_keys
from .open_questions import OpenQuestions
from .place_request import PlaceRequest

PART_ENDS_UPSTREAMS = "part_ended_its_upstreams"
"""Reason of a refusal of a request whose prompt has parts that are held."""
CLEARING_MS = 60
"""How long requests with a new suspect wait: by then a part that many requests share was answered
by other engines, and those that are left can be told apart."""
JUDGING_MS = 350
"""How long they wait after a further end under a suspect: by then reports are collected, the end is
committed, and the part is held if it is to blame."""
REPORTING_MS = 200
"""How long they wait after an answer under a suspect broke off: by then the gateway has looked at
the engine's port, and the leader knows whether the engine ended."""
MAX_SUSPECTS = 4_096
"""Parts that are suspected at a time; about 400 bytes each."""


ANY_SERVICE = ""


@dataclass(slots=True)
class _Suspicion:
    """A part of the prompts that an engine ran when it ended.

    Attributes
    ----------
    service : str
        Service of the engine; `ANY_SERVICE` if it is not known any more.
    instance : str
        Engine that ended last.
    placed_from_ms : int
        Clock time from which requests with this part are placed.
    since_ms : int
        Clock time at which it became suspect.
    answers : int
        Answers of its service until then.
    tickets : dict of str to str
        Engine by request with this part that was placed since.
    """

    service: str
    instance: str
    placed_from_ms: int
    since_ms: int
    answers: int
    tickets: dict[str, str] = field(default_factory=dict)


class SuspectParts:
    """Lets requests that share a suspect part run on one engine at a time.

    When an engine ends, each part of the prompts that it ran may be the cause. A part that ends
    every engine is never answered in full; any answer in full clears all parts of its prompt. Until
    a part is cleared, requests with it risk one engine only, and those with different suspects are
    placed apart, so that the next end tells which of them is the cause. Sound requests lose
    nothing: they run, and are cleared by their answers.

    The same parts are in question while it is not known yet whether the engine has ended. What ran
    there may end the next one, so requests with them wait, unless one is answered meanwhile.

    While no engine ends there are no suspects, and nothing is computed.

    Attributes
    ----------
    questions : OpenQuestions
        Parts of engines of which it is not known whether they ended.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}
        self._held: dict[frozenset[str], int] = {}
        self._tickets: dict[str, tuple[str, ...]] = {}
        self._answers: Counter[str] = Counter()
        self._cleared: set[str] = set()
        self.questions = OpenQuestions()
        # Clock time of the latest answer by part, oldest first; kept while there are suspects.
        self._answered_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._suspicions) + len(self.questions)

    def __contains__(self, part: str) -> bool:
        return part in self._suspicions

    @property
    def is_empty(self) -> bool:
        """Whether no part is suspected, in question or held."""
        return not self._suspicions and not self._held and not self.questions

    # What is suspected

    def suspect(self, parts: Iterable[str], service: str, instance: str, now_ms: int) -> None:
        """Suspect the parts of a prompt that an engine of `service` was running at its end."""
        for part in parts:
            known = self._suspicions.get(part)
            if known is not None and known.instance != instance:
                known.instance = instance
                known.placed_from_ms = now_ms + JUDGING_MS
            elif known is None and len(self._suspicions) < MAX_SUSPECTS:
                self._suspicions[part] = _Suspicion(
                    service, instance, now_ms + CLEARING_MS, now_ms, self._answers[service]
                )

    def engine_of(self, part: str) -> str:
        """Return the engine that ended last under a part; empty if the part is not suspect."""
        known = self._suspicions.get(part)
        return known.instance if known is not None else ""

    def wait(self, parts: Iterable[str], until_ms: int) -> None:
        """Place no request with these suspects until a clock time, unless they are cleared."""
        for part in self._suspects_of(parts):
            known = self._suspicions[part]
            known.placed_from_ms = max(known.placed_from_ms, until_ms)

    def clear(self, parts: Iterable[str]) -> None:
        """Suspect parts no longer."""
        for part in parts:
            self._suspicions.pop(part, None)

    def keep(self, parts: Collection[str]) -> None:
        """Suspect no others than these."""
        self.clear([part for part in self._suspicions if part not in parts])

    def hold(self, held: Iterable[tuple[Collection[str], int]]) -> None:
        """Set the parts that no request may have together, with the retry time in ms of each."""
        self._held = {frozenset(parts): retry_ms for parts, retry_ms in held}

    def answered(self, req: PlaceRequest, now_ms: int) -> None:
        """Clear all parts of a request that an engine answered in full."""
        self._answers.update((req.service, ANY_SERVICE))
        if not self._suspicions and not self.questions:
            return
        parts = keys_of(req)
        for part in parts:
            self._answered_ms.pop(part, None)
            self._answered_ms[part] = now_ms
        while len(self._answered_ms) > MAX_SUSPECTS:
            del self._answered_ms[next(iter(self._answered_ms))]
        self.clear_answered(parts)

    def answered_since(self, part: str, since_ms: int) -> bool:
        """Whether a request with a part was answered after a clock time, while any was suspect."""
        return self._answered_ms.get(part, since_ms) > since_ms

    def clear_answered(self, parts: Collection[str]) -> None:
        """Clear parts, since a request that has them was answered in full."""
        cleared = self._suspects_of(parts)
        self._cleared.update(cleared)
        self.clear(cleared)
        self.questions.clear(parts)

    def take_cleared(self) -> set[str]:
        """Return the parts that answers cleared since the last call."""
        cleared, self._cleared = self._cleared, set()
        return cleared

    def lasting(self, now_ms: int) -> tuple[str, ...]:
        """Return the parts that were not cleared at once, as common ones are; the latest last."""
        oldest_ms = now_ms - CLEARING_MS
        self._suspect_unknown(now_ms)
        suspected = (part for part, one in self._suspicions.items() if one.since_ms <= oldest_ms)
        return tuple(dict.fromkeys((*suspected, *self.questions.lasting(oldest_ms))))

    def _suspect_unknown(self, now_ms: int) -> None:
        """Suspect the parts of which it stayed open whether they ended an engine."""
        for part, instance in self.questions.take_old(now_ms):
            self.suspect([part], ANY_SERVICE, instance, now_ms)

    def answers_since(self, parts: Iterable[str]) -> int:
        """Number of answers without any of these parts since the first end under each of them."""
        known = [self._suspicions[part] for part in parts if part in self._suspicions]
        return min((self._answers[one.service] - one.answers for one in known), default=0)

    # Where requests may run

    def retry_ms(self, keys: Collection[str]) -> int | None:
        """Return the retry time of a request with these parts if it must not run, else None."""
        found = [ms for parts, ms in self._held.items() if parts.issubset(keys)]
        return max(found, default=None)

    def barred(
        self, keys: Collection[str], engines: Iterable[str], now_ms: int
    ) -> Collection[str] | None:
        """Return the engines that a request may not run on now; None if it may run on none.

        Parameters
        ----------
        keys : collection of str
            Parts of its prompt.
        engines : iterable of str
            All engines of its service.
        """
        self._suspect_unknown(now_ms)
        if self.questions.includes_any(keys):
            return None
        suspicions = [self._suspicions[part] for part in self._suspects_of(keys)]
        if not suspicions:
            return ()
        if any(now_ms < one.placed_from_ms for one in suspicions):
            return None
        runs_at = {instance for one in suspicions for instance in one.tickets.values()}
        if len(runs_at) > 1:
            return None
        if runs_at:
            return [one for one in engines if one not in runs_at]
        at_risk = {at for one in self._suspicions.values() for at in one.tickets.values()}
        has_other = any(one not in at_risk for one in engines)
        return at_risk if has_other else ()

    def is_placed(self, ticket: str, keys: Collection[str]) -> bool:
        """Whether a request was assigned to its engine with all its suspects known."""
        if self.questions.includes_any(keys):
            return False
        return set(self._suspects_of(keys)) <= set(self._tickets.get(ticket, ()))

    def assigned(self, ticket: str, keys: Collection[str], instance: str) -> None:
        """Record that a request will run on an engine."""
        suspects = self._suspects_of(keys)
        if not suspects:
            return
        self._tickets[ticket] = suspects
        for part in suspects:
            self._suspicions[part].tickets[ticket] = instance

    def broke(self, ticket: str, now_ms: int) -> None:
        """Place no request with the suspects of one that broke off until it is known what ended.

        The gateway reports the broken answer at once, and the end of the engine once it has looked
        at the port. A request that was placed in between ran on another engine.
        """
        self.wait(self._tickets.get(ticket, ()), now_ms + REPORTING_MS)

    def ended(self, ticket: str) -> None:
        """Record that a request does not run any more, or lost its engine before it ran."""
        for part in self._tickets.pop(ticket, ()):
            if part in self._suspicions:
                self._suspicions[part].tickets.pop(ticket, None)

    def _suspects_of(self, keys: Iterable[str]) -> tuple[str, ...]:
        return tuple(part for part in keys if part in self._suspicions)


def keys_of(req: PlaceRequest) -> tuple[str, ...]:
    """Return the names of the shared parts of a request's prompt."""
    return part_keys(req.organisation, (part.part_id for part in req.parts))
