"""What status and headers of an upstream's answer say."""

from __future__ import annotations

from dataclasses import dataclass

from ..signals import UpstreamSignals
from .upstream_answer import NotRun


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, decoded.

    Attributes
    ----------
    not_run : NotRun or None
        Set if the answer proves that nothing ran.
    written_by : str
        Announced name of the upstream that wrote the answer; empty if the answer names none.
    """

    not_run: NotRun | None
    signals: UpstreamSignals
    written_by: str = ""
