"""The closed union of calls that any controller forwards to the leader."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.upstream_record import UpstreamRecord
from ..placement import EngineReport
from ..settings.host_place import UNKNOWN_PLACE, HostPlace
from ..wire import Codec


@dataclass(frozen=True, slots=True)
class StoreDocument:
    """Store an operator's document and put it in force.

    Attributes
    ----------
    version : int
        Version of the document.
    content : bytes
        The document, compressed.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Read the document in force."""


@dataclass(frozen=True, slots=True)
class HeldDocument:
    """The document in force.

    Attributes
    ----------
    version : int
        Version of the document; -1 if there is none.
    content : bytes
        The document, compressed.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Announce:
    """An upstream announces itself; also serves as its heartbeat.

    Attributes
    ----------
    record : UpstreamRecord
        The upstream.
    number : int
        Sequence number of the announcements of this incarnation, by which a delayed one is
        recognised.
    holds : EngineReport or None
        What an engine holds; None for plain upstreams.
    """

    record: UpstreamRecord
    number: int
    holds: EngineReport | None


@dataclass(frozen=True, slots=True)
class Heartbeats:
    """Announcements of known upstreams without new information."""

    announcements: tuple[Announce, ...]


@dataclass(frozen=True, slots=True)
class Depart:
    """An upstream leaves.

    Attributes
    ----------
    name : str
        Announced name of the upstream.
    started_ms : int
        Start time of the incarnation that leaves, in ms since 1970; 0 if it reports none.
    """

    name: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StoreVersion:
    """Require a new version of an adapter, or of a base model if `adapter` is empty."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """A controller that is no member, or whose place is not known yet, names itself to the group.

    Attributes
    ----------
    replica_id : str
        Identity of its replica.
    address : str
        IP and port for other controllers.
    place : HostPlace
        Where its host stands.
    """

    replica_id: str
    address: str
    place: HostPlace = UNKNOWN_PLACE


@dataclass(frozen=True, slots=True)
class Accepted:
    """The call was accepted; a change that it made is committed."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call was refused for good."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was done, or the outcome is unknown; the sender may try again.

    Attributes
    ----------
    leader : str
        Address of the controller to ask next; empty if unknown.
    """

    leader: str = ""


RELAY_CODEC = Codec(
    Accepted,
    Announce,
    Depart,
    Heartbeats,
    HeldDocument,
    JoinGroup,
    ReadDocument,
    Rejected,
    StoreDocument,
    StoreVersion,
    Unavailable,
)
