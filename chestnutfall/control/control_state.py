"""State machine of the controllers' replicated log."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..config.layered_config import LayeredConfig
from ..config.site_config import SiteConfig
from ..consensus import StateMachine
from ..placement.engine_kind import EngineKind
from ..wire import UnknownMessage
from .audit_record import FIRST_HASH, AuditRecord
from .claim import Claim
from .claim_table import ClaimTable
from .commands import (
    COMMAND_CODEC,
    AddUpstream,
    AdvanceTime,
    AssignEngines,
    ChangeConfig,
    Changed,
    ClearParts,
    ClearSuspect,
    Command,
    CompleteGroup,
    Conflict,
    Done,
    EndClaim,
    EndPermit,
    ForgetCrashes,
    ForgetParts,
    ForgetUpstream,
    HoldParts,
    NameVersion,
    NoPermit,
    NoteEngineKind,
    NoteUpstreamEnd,
    PermitTaken,
    PutDocument,
    TakeClaim,
    TakePermit,
    UpstreamLeaves,
)
from .crash_ledger import CrashLedger
from .document_slot import DocumentSlot
from .ownership import Ownership
from .upstream_roster import UpstreamRoster

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Dump:
    """Content of a snapshot."""

    layers: dict[str, Any] = field(default_factory=dict)
    audit: list[AuditRecord] = field(default_factory=list)
    claims: list[tuple[str, str, Claim]] = field(default_factory=list)
    owners: list[Ownership] = field(default_factory=list)
    permits: dict[str, str] = field(default_factory=dict)
    time_ms: int = 0
    document: DocumentSlot = field(default_factory=DocumentSlot)
    roster: UpstreamRoster = field(default_factory=UpstreamRoster)
    versions: list[tuple[str, str, int]] = field(default_factory=list)
    group_complete: bool = False
    engine_kinds: dict[str, EngineKind] = field(default_factory=dict)
    crashes: CrashLedger = field(default_factory=CrashLedger)


class ControlState(StateMachine):
    """The replicated state: configuration, audit, claims, ownership, permits and upstreams.

    Attributes
    ----------
    layers : LayeredConfig
        Accepted configuration.
    sites : dict of str to SiteConfig
        Configuration in force at each data centre.
    audit : list of AuditRecord
        All accepted changes in order; record `n - 1` produced revision `n`.
    claims : ClaimTable
        Claims by caller and idempotency key.
    owners : dict of str to Ownership
        Ownership by engine.
    permits : dict of str to str
        Gateway session by load permit.
    time_ms : int
        Log time, which never runs faster than real time.
    document : DocumentSlot
        Whole configuration document; independent of the layers.
    roster : UpstreamRoster
        Upstreams that announced themselves to the controllers.
    versions : dict
        Newest required version by base model and adapter.
    group_complete : bool
        Whether the group has ever had all the voters it needs.
    engine_kinds : dict of str to EngineKind
        Measured engine characteristics by service.
    crashes : CrashLedger
        Process ends of upstreams, and the requests that they were running.
    on_apply : callable
        Called with each command after it is applied; must not raise.
    """

    def __init__(self) -> None:
        self.on_apply: Callable[[Command], None] = lambda command: None
        self._load_dump(_Dump())

    def _load_dump(self, dump: _Dump) -> None:
        self.layers = LayeredConfig(dump.layers)
        self.sites = {site: SiteConfig(site, self.layers) for site in self.layers.sites}
        self.audit = dump.audit
        self._changes = {record.change.change_id: record for record in dump.audit}
        self.claims = ClaimTable(dump.claims)
        self.owners = {ownership.engine: ownership for ownership in dump.owners}
        self.permits = dump.permits
        self.time_ms = dump.time_ms
        self.document = dump.document
        self.roster = dump.roster
        self.versions = {(model, adapter): v for model, adapter, v in dump.versions}
        self.group_complete = dump.group_complete
        self.engine_kinds = dump.engine_kinds
        self.crashes = dump.crashes

    def restore(self, data: bytes) -> None:
        self._load_dump(msgspec.msgpack.decode(data, type=_Dump) if data else _Dump())

    def dump(self) -> bytes:
        owners = list(self.owners.values())
        dump = _Dump(
            self.layers.layers,
            self.audit,
            list(self.claims.entries()),
            owners,
            self.permits,
            self.time_ms,
            self.document,
            self.roster,
            [(model, adapter, version) for (model, adapter), version in self.versions.items()],
            self.group_complete,
            self.engine_kinds,
            self.crashes,
        )
        return msgspec.msgpack.encode(dump)

    @property
    def revision(self) -> int:
        """Revision of the newest accepted change; 0 if there is none."""
        return len(self.audit)

    @property
    def chain_hash(self) -> str:
        """Chain hash of the newest audit record; `FIRST_HASH` if there is none."""
        return self.audit[-1].chain_hash if self.audit else FIRST_HASH

    def accepted_change(self, change_id: str) -> AuditRecord | None:
        """Return the audit record of the change with this id, or None if none was accepted."""
        return self._changes.get(change_id)

    def apply(self, index: int, data: bytes) -> Any:
        try:
            command = COMMAND_CODEC.decode(data)
        except UnknownMessage:
            # Replicas of the release that wrote it apply it. One that went on without it would hold
            # another state than they.
            raise
        except ValueError as exc:
            # Every replica holds the same bytes and passes over them alike. One that failed would
            # fail again at each start, and with all others: no leader, and nothing to be read.
            log.error(
                "log: the command at index=%d can't be read, and has no effect: %s", index, exc
            )
            return Done()
        outcome = self._apply(index, command)
        self.on_apply(command)
        return outcome

    def _apply(self, index: int, command: Command) -> Any:
        match command:
            case ChangeConfig() as change:
                return self._change_config(change)
            case TakeClaim() as take:
                return self.claims.take(take, self.time_ms)
            case EndClaim() as end:
                self.claims.end(end)
                return Done()
            case AssignEngines(owners):
                for engine, owner in owners:
                    self.owners[engine] = Ownership(engine, owner, index)
                return Done()
            case TakePermit() as permit:
                return self._take_permit(permit)
            case EndPermit(permit_id):
                self.permits.pop(permit_id, None)
                return Done()
            case AdvanceTime(ms):
                self._advance_time(ms)
                return Done()
            case PutDocument() as put:
                return self.document.put(put)
            case AddUpstream(record):
                self.roster.add(record)
                return Done()
            case UpstreamLeaves(instance):
                self.roster.mark_leaving(instance)
                return Done()
            case ForgetUpstream(instance):
                self.roster.forget(instance)
                return Done()
            case NameVersion(model, adapter, version):
                held = self.versions.get((model, adapter), 0)
                self.versions[model, adapter] = max(held, version)
                return Done()
            case NoteEngineKind(service, kind):
                self.engine_kinds[service] = kind
                return Done()
            case CompleteGroup():
                self.group_complete = True
                return Done()
            case NoteUpstreamEnd(instance, suspects, overlapping):
                self.crashes.note_end(instance, suspects, overlapping, command.answered)
                if command.runs:
                    self.crashes.note_parts(
                        instance,
                        command.service,
                        command.runs,
                        command.overlapping_parts,
                        command.unplaced,
                    )
                self.crashes.parts.note_cleared(instance, command.cleared_parts)
                self.crashes.parts.note_known(command.known_parts)
                return Done()
            case HoldParts(parts):
                self.crashes.hold_parts(parts)
                return Done()
            case ClearParts(parts):
                self.crashes.clear_parts(parts)
                return Done()
            case ForgetParts(instances, names):
                self.crashes.forget_parts(instances, names)
                return Done()
            case ClearSuspect(fingerprint):
                self.crashes.clear(fingerprint)
                return Done()
            case ForgetCrashes(instances, fingerprints):
                self.crashes.forget(instances, fingerprints)
                return Done()
            case unknown:
                raise ValueError(f"unknown command {unknown!r}")

    def _change_config(self, change: ChangeConfig) -> Changed | Conflict:
        # An operator's tool resends a change whose answer was lost, and by then another change may
        # have been accepted. Without this check the resent change is reported as a conflict
        # although it is in force.
        made = self._changes.get(change.change_id)
        if made is not None:
            return Changed(made.revision)
        if change.from_revision != self.revision:
            return self._conflict_with(change.from_revision)
        record = AuditRecord.following(self.chain_hash, self.revision + 1, change)
        self.audit.append(record)
        self._changes[change.change_id] = record
        touched = self.layers.apply(json.loads(change.patches))
        for site in self.layers.sites:
            if site in self.sites:
                self.sites[site].update(self.layers, touched)
            else:
                self.sites[site] = SiteConfig(site, self.layers)
        for site in set(self.sites) - set(self.layers.sites):
            del self.sites[site]
        return Changed(record.revision)

    def _conflict_with(self, from_revision: int) -> Conflict:
        first_newer = min(max(from_revision, 0), self.revision - 1)
        if first_newer < 0:
            return Conflict(0, "", "")
        change = self.audit[first_newer].change
        return Conflict(self.revision, change.change_id, change.operator)

    def _take_permit(self, take: TakePermit) -> PermitTaken | NoPermit:
        if take.permit_id not in self.permits and len(self.permits) >= take.at_once:
            return NoPermit()
        self.permits[take.permit_id] = take.session
        return PermitTaken()

    def _advance_time(self, ms: int) -> None:
        self.time_ms += ms
        self.claims.expire(self.time_ms)
