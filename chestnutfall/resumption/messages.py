"""Messages of a gateway and the leader about streams of services with several builds."""

from __future__ import annotations

from dataclasses import dataclass

from .stream_origin import StreamOrigin


@dataclass(frozen=True, slots=True)
class HeardOrigin:
    """A stream that began at a gateway.

    Attributes
    ----------
    attempt : str
        Id of the client's attempt that began it.
    owner : str
        Digest of the caller; see `stream_owner`. Of gateways that run earlier software, digest of
        the caller, path and body of that attempt.
    left_ms : int
        Time until its client gives it up.
    """

    attempt: str
    owner: str
    origin: StreamOrigin
    left_ms: int


@dataclass(frozen=True, slots=True)
class HeardOrigins:
    """Streams that began at a gateway.

    Attributes
    ----------
    is_whole : bool
        Whether these are all that the gateway knows of the services with several builds.
    """

    origins: tuple[HeardOrigin, ...]
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class AskOrigin:
    """A gateway asks what a stream began on that a client takes up.

    Attributes
    ----------
    number : int
        Identifies the question in its answer.
    attempt : str
        Attempt that the client names.
    owner : str
        Digest of the caller that takes it up.
    """

    number: int
    attempt: str
    owner: str


@dataclass(frozen=True, slots=True)
class AnswerOrigin:
    """Answer to an `AskOrigin`.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if no gateway that the leader reaches knows the stream.
    """

    number: int
    origin: StreamOrigin | None
