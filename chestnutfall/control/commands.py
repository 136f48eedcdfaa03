"""The closed union of commands of the replicated log, and their outcomes.

Every outcome is a function of the log alone, so that a command that is sent again after a lost
answer gets the same one from any leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..placement.engine_kind import EngineKind
from ..wire import Codec
from .claim import Claim, ClaimStatus
from .upstream_record import UpstreamRecord


@dataclass(frozen=True, slots=True)
class ChangeConfig:
    """Change the configuration from one revision to the next.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's tool; the same id always gets the first outcome.
    patches : str
        JSON object from layer to patch.
    at_ms : int
        Wall-clock time of the leader, ms since 1970; for the auditor only.
    """

    change_id: str
    operator: str
    from_revision: int
    patches: str
    note: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Changed:
    """The change is in the log as `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was changed: `change_id` made `revision` before."""

    revision: int
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Claim the one run of a request."""

    caller: str
    key: str
    body_digest: str
    attempt_id: str
    session: str
    retention_ms: int


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """This attempt, and no other, may run."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another attempt has the claim; this one must not run."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class EndClaim:
    """Say how the attempt ended; `status` None releases the claim of one that never ran."""

    caller: str
    key: str
    attempt_id: str
    status: ClaimStatus | None


@dataclass(frozen=True, slots=True)
class AssignEngines:
    """Give engines to owners; the epoch of each is the index of this entry."""

    owners: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class TakePermit:
    """Reserve one load from the weight store."""

    permit_id: str
    session: str
    at_once: int


@dataclass(frozen=True, slots=True)
class PermitTaken:
    """The load may start."""


@dataclass(frozen=True, slots=True)
class NoPermit:
    """As many loads as allowed are under way."""


@dataclass(frozen=True, slots=True)
class EndPermit:
    """A load ended, or its permit's lease ran out."""

    permit_id: str


@dataclass(frozen=True, slots=True)
class AdvanceTime:
    """Log time moves on by `ms`, measured by the leader's monotonic clock."""

    ms: int


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Put a whole configuration document in force; `content` is compressed."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class DocumentStored:
    """A document of this version is in force; what was sent is it, or older."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionTaken:
    """Nothing was changed: this version is in force with other content."""

    version: int


@dataclass(frozen=True, slots=True)
class AddUpstream:
    """A new incarnation of an upstream announced itself."""

    record: UpstreamRecord


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """An incarnation takes no new work any more."""

    instance: str


@dataclass(frozen=True, slots=True)
class ForgetUpstream:
    """An incarnation was silent for so long that its record is dropped."""

    instance: str


@dataclass(frozen=True, slots=True)
class NameVersion:
    """Requests for an adapter (or, with an empty name, a base model) get this version or newer."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class NoteEngineKind:
    """What the leader learned of the engines of a service, for the next one to begin with."""

    service: str
    kind: EngineKind


@dataclass(frozen=True, slots=True)
class CompleteGroup:
    """The group has as many voters as the tolerated losses need; it may acknowledge."""


@dataclass(frozen=True, slots=True)
class NoteUpstreamEnd:
    """An upstream ended while it ran requests with these fingerprints, or some more of them.

    Attributes
    ----------
    overlapping : tuple of str
        Those for which it counts as one with another upstream's end.
    """

    instance: str
    suspects: tuple[str, ...]
    overlapping: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """An upstream answered the request with this fingerprint in full."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class ForgetCrashes:
    """Ends of upstreams, and quarantines of requests, are old enough to be dropped."""

    instances: tuple[str, ...]
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """The command has no further outcome."""


Command = (
    ChangeConfig
    | TakeClaim
    | EndClaim
    | AssignEngines
    | TakePermit
    | EndPermit
    | AdvanceTime
    | PutDocument
    | AddUpstream
    | UpstreamLeaves
    | ForgetUpstream
    | NameVersion
    | NoteEngineKind
    | CompleteGroup
    | NoteUpstreamEnd
    | ClearSuspect
    | ForgetCrashes
)
COMMAND_CODEC = Codec(
    ChangeConfig,
    TakeClaim,
    EndClaim,
    AssignEngines,
    TakePermit,
    EndPermit,
    AdvanceTime,
    PutDocument,
    AddUpstream,
    UpstreamLeaves,
    ForgetUpstream,
    NameVersion,
    NoteEngineKind,
    CompleteGroup,
    NoteUpstreamEnd,
    ClearSuspect,
    ForgetCrashes,
)
