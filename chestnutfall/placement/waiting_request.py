"""A request that has no place yet."""

from __future__ import annotations

from dataclasses import dataclass, field

from .place_request import PlaceRequest
from .prompt_cache import Prefixes, prefixes_of
from .queue import Queue
from .suspect_parts import keys_of


@dataclass(slots=True)
class WaitingRequest:
    """A request in the queue.

    Attributes
    ----------
    since_ms : int
        Clock time at which it was submitted.
    instance : str
        Engine that it is assigned to, which loads its adapter or has its prompt queued; empty while
        there is none.
    assigned_ms : int
        Clock time of that assignment.
    assigned_late : bool or None
        Whether it could not be in time when it was assigned last; None before that.
    tag : float
        Start tag among all organisations' requests, from `FairShare`.
    build_key : str
        Software that the engine must run, as the request goes on with a stream; empty for any.
    prefixes : Prefixes
        Prefixes of its prompt, computed once as the queue is processed every few ms.
    queue : Queue
        The queue that it waits in, by its service and the software that it needs.
    """

    req: PlaceRequest
    since_ms: int
    instance: str = ""
    assigned_ms: int = 0
    assigned_late: bool | None = None
    tag: float = 0.0
    build_key: str = ""
    prefixes: Prefixes = field(init=False)
    queue: Queue = field(init=False)
    _part_keys: tuple[str, ...] | None = None

    def __post_init__(self) -> None:
        self.prefixes = prefixes_of(self.req)
        self.queue = Queue(self.req.service, self.build_key)

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Names of the shared parts of its prompt; computed when first asked for."""
        if self._part_keys is None:
            self._part_keys = keys_of(self.req)
        return self._part_keys

    def objective_ms(self, now_ms: int) -> int:
        """Time left until its first event is late; negative when it is."""
        return self.since_ms + self.req.objective_ms - now_ms

    def sort_key(self, in_time: bool) -> tuple[bool, int, float, int]:
        """Sort key: can be in time, then most urgent, then least served organisation, then arrival.

        When more requests arrive than can be placed, order of arrival alone makes all of them late.
        Requests that will be late anyway lose little by waiting longer, and are refused once they
        can't be served. They also go behind less urgent requests that can be in time: these cost an
        urgent late request only some ms, but would become late themselves if they waited. With half
        of the engines lost, the kind of request served least reaches 0.74 of its value in time
        instead of 0.68.
        """
        return not in_time, self.req.rank, self.tag, self.since_ms
