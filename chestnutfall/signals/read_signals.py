"""From the head of an answer to what it says of its upstream, for every dialect."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..limits import read_limit
from .backoff_word import BACKOFF_HEADER, read_backoff
from .upstream_load import read_load
from .upstream_signals import UpstreamSignals

IS_LEAVING = "1"
"""The one value with which an upstream says that it leaves."""


@dataclass(frozen=True, slots=True)
class SignalHeaders:
    """The headers of one dialect."""

    limit: str
    leaving: str
    load: str

    @property
    def all(self) -> tuple[str, ...]:
        """Their names."""
        return self.limit, self.leaving, self.load


def read_signals(status: int, headers: Mapping[str, str], names: SignalHeaders) -> UpstreamSignals:
    """Read the signals of an answer.

    Parameters
    ----------
    headers : mapping of str to str
        Found whatever the case of their names.
    """
    return UpstreamSignals(
        read_limit(headers.get(names.limit)),
        read_backoff(status, headers.get(BACKOFF_HEADER), headers.get("Date")),
        headers.get(names.leaving, "").strip() == IS_LEAVING,
        read_load(headers.get(names.load)),
    )
