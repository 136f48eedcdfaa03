"""The closed union of commands in the replicated log, and their outcomes.

An outcome depends on the log alone. A command that is sent again after a lost answer therefore gets
the same outcome from any leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..placement.engine_kind import EngineKind
from ..wire import Codec
from .claim import Claim, ClaimStatus
from .run_parts import RunParts
from .upstream_record import UpstreamRecord


@dataclass(frozen=True, slots=True)
class ChangeConfig:
    """Change the configuration from one revision to the next.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's tool. A repeated id gets the outcome of the accepted change with
        it.
    operator : str
        Name of the operator who made the change.
    from_revision : int
        Revision that the change is based on. If it is not the newest one, nothing is changed.
    patches : str
        JSON object from layer to patch.
    note : str
        Free text of the operator, for the audit.
    at_ms : int
        Wall-clock time of the leader, in ms since 1970. Only shown in the audit.
    """

    change_id: str
    operator: str
    from_revision: int
    patches: str
    note: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Changed:
    """The change is committed as `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was changed, because the base revision of the change is not the newest one.

    Attributes
    ----------
    revision : int
        Newest revision.
    change_id, operator : str
        The accepted change that directly followed the base revision.
    """

    revision: int
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Claim the only run of a request.

    Attributes
    ----------
    caller, key : str
        Caller and its idempotency key.
    body_digest : str
        Digest of the request body.
    attempt_id : str
        Attempt that asks for the claim.
    session : str
        Session of the gateway that makes the attempt.
    retention_ms : int
        How long the claim is kept, in log time.
    """

    caller: str
    key: str
    body_digest: str
    attempt_id: str
    session: str
    retention_ms: int


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The attempt holds the claim and may run."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another attempt holds `claim`; the one that asked must not run."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class EndClaim:
    """Record how an attempt ended; a `status` of None releases the claim of one that never ran."""

    caller: str
    key: str
    attempt_id: str
    status: ClaimStatus | None


@dataclass(frozen=True, slots=True)
class AssignEngines:
    """Assign engines to owners, as (engine, gateway session) pairs.

    The index of this log entry becomes the epoch of each assignment.
    """

    owners: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class TakePermit:
    """Reserve one load from the weight store.

    Attributes
    ----------
    permit_id : str
        Names the permit; a repeated id takes no second one.
    session : str
        Session of the gateway that loads.
    at_once : int
        Largest number of concurrent permits.
    """

    permit_id: str
    session: str
    at_once: int


@dataclass(frozen=True, slots=True)
class PermitTaken:
    """The permit is granted and the load may start."""


@dataclass(frozen=True, slots=True)
class NoPermit:
    """The permit is denied: too many loads are in progress, or the load rate is spent."""


@dataclass(frozen=True, slots=True)
class EndPermit:
    """A load ended, or the lease of its permit expired."""

    permit_id: str


@dataclass(frozen=True, slots=True)
class AdvanceTime:
    """Advance log time by `ms`, measured with the leader's monotonic clock."""

    ms: int


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Put a whole configuration document in force; `content` is compressed."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class DocumentStored:
    """The document is stored, or was older than the one in force; `version` is in force."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionTaken:
    """Nothing was changed: `version` is in force with different content."""

    version: int


@dataclass(frozen=True, slots=True)
class AddUpstream:
    """Add a new incarnation of an upstream that announced itself."""

    record: UpstreamRecord


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """Mark an incarnation as leaving: it accepts no new work any more."""

    instance: str


@dataclass(frozen=True, slots=True)
class ForgetUpstream:
    """Drop the record of an incarnation that was silent for long."""

    instance: str


@dataclass(frozen=True, slots=True)
class NameVersion:
    """Require `version` or a newer one for requests for an adapter.

    An empty `adapter` stands for the base model itself.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class NoteEngineKind:
    """Save measurements of a service's engines, as initial values for the next leader."""

    service: str
    kind: EngineKind


@dataclass(frozen=True, slots=True)
class CompleteGroup:
    """Record that the group of controllers is complete.

    Before this entry, no document or version is acknowledged.
    """


@dataclass(frozen=True, slots=True)
class NoteUpstreamEnd:
    """Record that an upstream process ended while it ran these requests.

    A second command for the same instance adds requests.

    Attributes
    ----------
    instance : str
        Incarnation that ended.
    suspects : tuple of str
        Fingerprints of the requests for which this end counts as a separate one.
    overlapping : tuple of str
        Fingerprints of the requests for which it counts as one with another upstream's end.
    service : str
        Service of the upstream; needed with `runs` only.
    runs : tuple of RunParts
        The requests with prompt parts that are suspect.
    overlapping_parts : tuple of str
        Parts for which the end counts as one with another upstream's end.
    cleared_parts : tuple of str
        Parts that it ran too and that were cleared before this was stored.
    answered : tuple of str
        Fingerprints of the requests that were answered in full at some time before.
    unplaced : bool
        Whether it ended before the term of the leader that stores it, so that no leader that knew
        the ends before may have placed what it ran. Only the first command for it counts.
    known_parts : tuple of str
        Parts of `runs` that were answered in full shortly before the end.
    """

    instance: str
    suspects: tuple[str, ...]
    overlapping: tuple[str, ...] = ()
    service: str = ""
    runs: tuple[RunParts, ...] = ()
    overlapping_parts: tuple[str, ...] = ()
    cleared_parts: tuple[str, ...] = ()
    answered: tuple[str, ...] = ()
    unplaced: bool = False
    known_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HoldParts:
    """Refuse all requests whose prompts have these parts together."""

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClearParts:
    """Clear prompt parts, because an engine answered requests with them in full."""

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ForgetParts:
    """Drop old ends by prompt parts, and end holds that are over, by their names."""

    instances: tuple[str, ...]
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Clear a request from suspicion, because an upstream answered it in full."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class ForgetCrashes:
    """Drop process ends and quarantines that are too old.

    Attributes
    ----------
    instances : tuple of str
        Incarnations whose ends are dropped.
    fingerprints : tuple of str
        Requests whose quarantine is lifted.
    """

    instances: tuple[str, ...]
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """The command was applied; it has no other outcome."""


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
    | HoldParts
    | ClearParts
    | ForgetParts
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
    HoldParts,
    ClearParts,
    ForgetParts,
)


class UnreadableCommand(ValueError):
    """A command that replicas could not read back."""


def encode_command(command: Command) -> bytes:
    """Return a command as it is proposed to the log.

    Raises
    ------
    UnreadableCommand
        When it can't be encoded, or could not be read back. The encoder doesn't check the types of
        fields, and a committed entry stays.
    """
    if not COMMAND_CODEC.can_encode(command):
        raise UnreadableCommand(f"{type(command).__name__} can't be encoded")
    data = COMMAND_CODEC.encode(command)
    try:
        COMMAND_CODEC.decode(data)
    except ValueError as exc:
        raise UnreadableCommand(f"{type(command).__name__}: {exc}") from exc
    return data
