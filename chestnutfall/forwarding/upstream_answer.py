"""The beginning of an upstream's answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from ..signals import UpstreamSignals
from .call import Headers


class NotRun(Enum):
    """The upstream's own proof that it did not run the request."""

    FULL = "full"
    REPLACED = "replaced"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Status, headers and the body as it comes.

    Attributes
    ----------
    not_run : NotRun or None
        Set when the upstream proved that nothing ran.
    signals : UpstreamSignals
        What it says of itself.
    body : async iterator of bytes
        Raises AnswerLost when it breaks off.
    """

    status: int
    headers: Headers
    not_run: NotRun | None
    signals: UpstreamSignals
    body: AsyncIterator[bytes]

    @property
    def ok(self) -> bool:
        """Whether the upstream answered with success."""
        return 200 <= self.status < 300
