"""Messages about paths to upstreams: with the leader, and between gateways."""

from __future__ import annotations

from dataclasses import dataclass

from ..forwarding.call import Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..wire import Codec

HELP_METHOD = "Help"
CHECK_METHOD = "CheckPort"
UNREACHABLE = "unreachable"
"""Reason of a helper that can't connect to the upstream."""
UNKNOWN_KEY = "unknown_key"
"""Reason of a helper to which the asking gateway is a stranger."""
LEAVING = "leaving"
"""Reason of a helper that is about to end."""
MAX_INLINE_BYTES = 16 * 1024
"""Longest body that goes with its call; a helper has a longer one sent once it has room for it."""
BODY_PART_BYTES = 128 * 1024
MAX_MESSAGE_BYTES = 512 * 1024
"""Longest message to a helper: a call with the longest head and body that goes with it, or a part
of a longer one. gRPC takes a message whole before anything here sees it."""


@dataclass(frozen=True, slots=True)
class SendCall:
    """A gateway asks a helper to send a call once to the upstream that it names.

    Attributes
    ----------
    keys : tuple of str
        Keys of the fleet that the asking gateway has from the last leaders.
    """

    keys: tuple[str, ...]
    forwarded: ForwardedCall


@dataclass(frozen=True, slots=True)
class SendLongCall:
    """A gateway asks a helper for room for a call, whose body follows once there is.

    Attributes
    ----------
    keys : tuple of str
        Keys of the fleet that the asking gateway has from the last leaders.
    forwarded : ForwardedCall
        The call, without its body.
    body_bytes : int
        Length of the body.
    """

    keys: tuple[str, ...]
    forwarded: ForwardedCall
    body_bytes: int


@dataclass(frozen=True, slots=True)
class BodyWanted:
    """The helper has room for the body."""


@dataclass(frozen=True, slots=True)
class BodyPart:
    """Bytes of the body; nothing is sent to the upstream before the last of them."""

    data: bytes


@dataclass(frozen=True, slots=True)
class NotSentByHelper:
    """Nothing was sent, so the call did not run.

    Attributes
    ----------
    reason : str
        Machine-readable cause.
    is_witness : bool
        Whether the helper could not reach the upstream while it reached another one.
    """

    reason: str
    is_witness: bool = False


@dataclass(frozen=True, slots=True)
class AnswerBegins:
    """Status and headers of the upstream's answer."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Bytes of the answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnds:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The call may have run, and its answer is missing or cut off."""

    reason: str


@dataclass(frozen=True, slots=True)
class CheckPort:
    """A gateway asks whether connections to an address are refused at a helper too."""

    keys: tuple[str, ...]
    address: str


@dataclass(frozen=True, slots=True)
class PortChecked:
    """Answer to a `CheckPort`.

    Attributes
    ----------
    refuses : bool or None
        Whether connections are refused there, while the helper reaches another upstream; False if
        one opens, None if the helper can't tell.
    """

    refuses: bool | None


HELP_CODEC = Codec(
    AnswerBegins,
    AnswerBroken,
    AnswerEnds,
    AnswerPart,
    BodyPart,
    BodyWanted,
    CheckPort,
    NotSentByHelper,
    PortChecked,
    SendCall,
    SendLongCall,
)
