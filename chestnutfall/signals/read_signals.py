"""Reading an upstream's signals from the headers of an answer, in every dialect."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..limits import read_limit
from .backoff_signal import BACKOFF_HEADER, read_backoff
from .rejection_signal import read_rejections
from .upstream_load import read_load
from .upstream_signals import UpstreamSignals

IS_LEAVING = "1"
"""The only header value that says that an upstream is leaving."""


@dataclass(frozen=True, slots=True)
class SignalHeaders:
    """Names of the signal headers in one dialect of the interface to upstreams.

    Attributes
    ----------
    limit : str
        Declares the requests per second that the upstream accepts.
    leaving : str
        Says that the upstream is leaving.
    load : str
        Reports an `UpstreamLoad`, as `RUNNING,WAITING,MAX_RUNNING` with an optional fourth figure:
        how long work takes at this moment, in percent of the usual time.
    rejections : str
        Declares how many rejections the upstream bears within a second.
    """

    limit: str
    leaving: str
    load: str
    rejections: str

    @property
    def all(self) -> tuple[str, ...]:
        """The names of all signal headers."""
        return self.limit, self.leaving, self.load, self.rejections


def read_signals(status: int, headers: Mapping[str, str], names: SignalHeaders) -> UpstreamSignals:
    """Read the signals of an answer.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the answer; lookups must ignore the case of names.
    names : SignalHeaders
        Header names of the upstream's dialect.
    """
    return UpstreamSignals(
        read_limit(headers.get(names.limit)),
        read_backoff(status, headers.get(BACKOFF_HEADER), headers.get("Date")),
        headers.get(names.leaving, "").strip() == IS_LEAVING,
        read_load(headers.get(names.load)),
        read_rejections(headers.get(names.rejections)),
    )
