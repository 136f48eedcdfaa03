"""Ways in which a client's request ends, as a closed union."""

from __future__ import annotations

from dataclasses import dataclass

from ..requests import Executed


@dataclass(frozen=True, slots=True)
class Answered:
    """The client's connection has taken the whole answer of an upstream, or its whole failure.

    `is_late` if it took the end of it only after the call's own time.
    """

    status: int
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The client has a refusal made by this gateway.

    Attributes
    ----------
    reason : str
        Machine-readable cause; also names the metric.
    executed : Executed
        Whether any send may have run the request.
    retry_after_ms : int or None
        Time after which the client may try again; None if none is stated.
    organisation : str
        Organisation that sent the request; empty if unknown or irrelevant.
    version : int
        Version of the document on which the refusal is based; -1 if irrelevant.
    """

    status: int
    reason: str
    executed: Executed = Executed.NO
    retry_after_ms: int | None = None
    organisation: str = ""
    version: int = -1


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """This gateway ended an answer that had begun, such that the client sees it as incomplete."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The client closed its connection.

    Attributes
    ----------
    begun : bool
        Whether it had a part of its answer.
    sends : int
        How often the request was sent before.
    last_sent_ms : int
        Clock time of the last send; -1 if there was none.
    """

    begun: bool
    sends: int = 0
    last_sent_ms: int = -1


@dataclass(frozen=True, slots=True)
class Stopped:
    """The request was cancelled as this gateway closed its connections before its process ends."""

    begun: bool


RequestEnd = Answered | Refused | BrokenOff | CallerLeft | Stopped
