"""The beginning of an upstream's answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from ..signals import AskedBackoff, UpstreamSignals
from .call import Headers


class NotRun(Enum):
    """Reason that an upstream gives with its proof that it did not run the request.

    `FULL`: no capacity. `REPLACED`: another incarnation runs at the address. `ABSENT`: the adapter,
    or its required version, is not loaded.
    """

    FULL = "full"
    REPLACED = "replaced"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Status and headers of an answer, and its body as it arrives.

    Attributes
    ----------
    not_run : NotRun or None
        Set if the upstream proved that nothing ran.
    signals : UpstreamSignals
        Limit, backoff and load that the upstream reports.
    body : async iterator of bytes
        Raises AnswerLost when the answer breaks off.
    is_helped : bool
        Whether another gateway sent the request.
    written_by : str
        Announced name of the upstream that wrote the answer; empty if the answer names none.
    """

    status: int
    headers: Headers
    not_run: NotRun | None
    signals: UpstreamSignals
    body: AsyncIterator[bytes]
    is_helped: bool = False
    written_by: str = ""

    @property
    def ok(self) -> bool:
        """Whether the upstream answered with a 2xx status."""
        return 200 <= self.status < 300

    @property
    def asks_backoff(self) -> bool:
        """Whether the selected upstream itself asks this gateway to back off."""
        is_meant = self.not_run is not NotRun.REPLACED
        return is_meant and isinstance(self.signals.backoff, AskedBackoff)
