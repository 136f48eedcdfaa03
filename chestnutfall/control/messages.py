"""The closed union of messages between controllers and their clients."""

from __future__ import annotations

from dataclasses import dataclass

from ..quota.messages import AnswerQuota, AskQuota, QuotaLevel, QuotaNews, UsedQuota, WasShort
from ..wire import Codec
from .audit_record import AuditRecord
from .commands import (
    Changed,
    ClaimHeld,
    ClaimTaken,
    Conflict,
    Done,
    EndClaim,
    EndPermit,
    NoPermit,
    PermitTaken,
    TakeClaim,
    TakePermit,
)
from .crash_messages import NO_SUSPECTS, AnsweredRun, BrokenRun, SuspectRequests
from .ownership import Ownership


@dataclass(frozen=True, slots=True)
class EngineSeen:
    """An upstream that announces itself to a gateway.

    Attributes
    ----------
    name : str
        Announced name.
    incarnation : str
        Identifies one start of the upstream.
    service : str
        Service that the upstream belongs to.
    """

    name: str
    incarnation: str
    service: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A gateway renews its session and reports its state.

    Attributes
    ----------
    session : str
        Name and incarnation of the gateway.
    address : str
        IP and port for other gateways.
    site : str
        Data centre of the gateway.
    revision : int
        Configuration revision in force at the gateway; -1 before the first.
    digest : str
        Content digest of that configuration.
    engines : tuple of EngineSeen or None
        Upstreams that announce themselves to the gateway; None if unchanged since the last answered
        heartbeat.
    acting : tuple of str
        Engines for which the gateway acts as owner.
    leaving : bool
        Whether the gateway wants no engines any more.
    ownership_version : str
        Newest directory version that the gateway knows.
    suspects_known : int
        Newest change count of the suspect requests that the gateway knows; -1 before the first.
    cut : tuple of str
        Instances of upstreams that the gateway does not reach over its own links.
    """

    session: str
    address: str
    site: str
    revision: int
    digest: str
    engines: tuple[EngineSeen, ...] | None
    acting: tuple[str, ...]
    leaving: bool
    ownership_version: str
    suspects_known: int = NO_SUSPECTS.changes
    cut: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """One accepted change, restricted to the layers of a site.

    Attributes
    ----------
    revision : int
        Revision that the change produced.
    patches : str
        JSON object from layer to patch.
    """

    revision: int
    patches: str


@dataclass(frozen=True, slots=True)
class ConfigFull:
    """All configuration layers of a site.

    Attributes
    ----------
    revision : int
        Revision of the layers.
    layers : str
        JSON object from layer to document.
    """

    revision: int
    layers: str


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """Address at which other gateways reach the gateway with this session.

    Attributes
    ----------
    cut : tuple of str
        Instances of upstreams that it does not reach over its own links.
    """

    session: str
    address: str
    cut: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The renewed lease, and the updates that the gateway lacks.

    Attributes
    ----------
    lease_ms : int
        Length of the session's lease, counted from when the heartbeat was sent.
    revision, digest : int, str
        Configuration in force at the site, and its content digest.
    deltas : tuple of ConfigDelta
        Changes that the gateway lacks, oldest first.
    full : ConfigFull or None
        Whole configuration, in place of `deltas`.
    ownership_version : str
        Newest directory version.
    owners, gateways : tuple or None
        Whole ownership and all live gateways; None if the gateway knows `ownership_version`.
    give_up : tuple of str
        Engines that the gateway has to stop acting for.
    suspects : SuspectRequests or None
        Requests that may end upstreams; None if the gateway knows them.
    """

    lease_ms: int
    revision: int
    digest: str
    deltas: tuple[ConfigDelta, ...]
    full: ConfigFull | None
    ownership_version: str
    owners: tuple[Ownership, ...] | None
    gateways: tuple[GatewayAddress, ...] | None
    give_up: tuple[str, ...]
    suspects: SuspectRequests | None = None


@dataclass(frozen=True, slots=True)
class ApplyChange:
    """An operator's configuration change.

    Attributes
    ----------
    operator_key : str
        Secret key of the operator.
    change_id : str
        Chosen by the operator's tool, so that a resent change is applied once.
    from_revision : int
        Revision that the change is based on.
    patches : str
        JSON object from layer to patch.
    note : str
        Free text for the audit.
    dry_run : bool
        Whether to validate the change only.
    """

    operator_key: str
    change_id: str
    from_revision: int
    patches: str
    note: str
    dry_run: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused and nothing was done."""

    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Read:
    """Read state that is confirmed by a quorum.

    Attributes
    ----------
    operator_key : str
        Secret key of the operator.
    what : str
        View to read: layers, site, audit, status or quotas.
    site : str
        Data centre, for the view of a site.
    after : int
        Revision after which audit records are returned.
    """

    operator_key: str
    what: str
    site: str = ""
    after: int = 0


@dataclass(frozen=True, slots=True)
class ConfigView:
    """Configuration as JSON: all layers, or the merged configuration of a site.

    Attributes
    ----------
    revision : int
        Newest revision.
    digest : str
        Audit chain hash for all layers, content digest for a site.
    document : str
        The configuration.
    """

    revision: int
    digest: str
    document: str


@dataclass(frozen=True, slots=True)
class QuotaView:
    """Remaining quota of each caller."""

    callers: tuple[QuotaLevel, ...]


@dataclass(frozen=True, slots=True)
class AuditView:
    """Audit records that follow a revision, oldest first."""

    records: tuple[AuditRecord, ...]


@dataclass(frozen=True, slots=True)
class GatewayView:
    """A gateway's state at its last heartbeat.

    Attributes
    ----------
    session : str
        Name and incarnation of the gateway.
    address : str
        IP and port for other gateways.
    site : str
        Data centre of the gateway.
    revision, digest : int, str
        Configuration in force at the gateway.
    expected_digest : str
        Digest of the configuration that the site should have.
    heard_ms_ago : int
        Time since the last heartbeat.
    leaving : bool
        Whether the gateway wants no engines any more.
    """

    session: str
    address: str
    site: str
    revision: int
    digest: str
    expected_digest: str
    heard_ms_ago: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class MemberView:
    """A controller as seen by the leader.

    Attributes
    ----------
    replica_id : str
        Identity of the replica.
    address : str
        IP and port.
    voter : bool
        False for a learner.
    match_index : int
        Newest log entry that the replica is known to hold.
    heard_ms_ago : int
        Time since its last answer.
    """

    replica_id: str
    address: str
    voter: bool
    match_index: int
    heard_ms_ago: int


@dataclass(frozen=True, slots=True)
class StatusView:
    """The whole deployment as seen by the leader.

    Attributes
    ----------
    leader, term : str, int
        Replica that leads, and its term.
    commit_index : int
        Newest committed log entry.
    revision, chain_hash : int, str
        Newest configuration revision and the hash of its audit record.
    claims, permits : int
        Number of held claims and load permits.
    members : tuple of MemberView
        All controllers.
    gateways : tuple of GatewayView
        Gateways with an unexpired session.
    owners : tuple of Ownership
        Owner of each engine.
    engines : tuple of EngineSeen
        Upstreams that announce themselves to live gateways.
    """

    leader: str
    term: int
    commit_index: int
    revision: int
    chain_hash: str
    claims: int
    permits: int
    members: tuple[MemberView, ...]
    gateways: tuple[GatewayView, ...]
    owners: tuple[Ownership, ...]
    engines: tuple[EngineSeen, ...]


@dataclass(frozen=True, slots=True)
class ChangeMember:
    """Change the group of controllers.

    Attributes
    ----------
    operator_key : str
        Secret key of the operator, who needs the admin role.
    action : str
        `add` a learner, `promote` it to a voter, or `remove` a controller.
    replica_id : str
        Controller to change.
    address : str
        IP and port; used by `add`.
    """

    operator_key: str
    action: str
    replica_id: str
    address: str


@dataclass(frozen=True, slots=True)
class TryElsewhere:
    """This controller does not lead, and nothing was done.

    Attributes
    ----------
    leader : str
        Address of the leader; empty if unknown.
    """

    leader: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Leadership was lost during the request, which may or may not take effect."""


CONTROL_CODEC = Codec(
    AnswerQuota,
    AnsweredRun,
    ApplyChange,
    AskQuota,
    AuditView,
    BrokenRun,
    ChangeMember,
    Changed,
    ClaimHeld,
    ClaimTaken,
    ConfigView,
    Conflict,
    Done,
    EndClaim,
    EndPermit,
    Heartbeat,
    HeartbeatReply,
    NoPermit,
    OutcomeUnknown,
    PermitTaken,
    QuotaNews,
    QuotaView,
    Read,
    Refused,
    StatusView,
    TakeClaim,
    TakePermit,
    TryElsewhere,
    UsedQuota,
    WasShort,
)
