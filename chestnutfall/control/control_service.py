"""What controllers answer to gateways and operators."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgspec

from ..clock import Clock
from ..config import (
    BASE_LAYER,
    LayeredConfig,
    Limits,
    Operator,
    Role,
    SiteConfig,
    check_patch,
    site_layer,
    validate_site,
)
from ..config.typed_config import DEFAULT, ENTRY_TYPES, key_hash
from ..consensus import Busy, LeadershipLost, Member, NotLeader, Replica, StorageFailed
from ..findings import read_json_text
from .claim import ClaimStatus
from .commands import (
    COMMAND_CODEC,
    ChangeConfig,
    Changed,
    ClaimHeld,
    Command,
    Conflict,
    EndClaim,
    EndPermit,
    NoPermit,
    TakeClaim,
    TakePermit,
)
from .control_state import ControlState
from .leader_duties import LeaderDuties
from .messages import (
    ApplyChange,
    AuditView,
    ChangeMember,
    ConfigDelta,
    ConfigFull,
    ConfigView,
    GatewayView,
    Heartbeat,
    HeartbeatReply,
    MemberView,
    OutcomeUnknown,
    Read,
    Refused,
    StatusView,
    TryElsewhere,
)
from .sessions import SESSION_LEASE_MS

MAX_DELTAS = 100
MAX_CLAIM_KEY_CHARS = 512


class ControlService:
    """Answers every message of the control protocol, on the leader only."""

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        duties: LeaderDuties,
        clock: Clock,
        admin_key_sha256: str,
    ) -> None:
        self._replica = replica
        self._state = state
        self._duties = duties
        self._clock = clock
        self._admin_key_sha256 = admin_key_sha256

    async def handle(self, msg: Any) -> Any:
        """Answer `msg`; on a replica that does not lead, say where to ask."""
        if not self._duties.in_force():
            return self._try_elsewhere()
        try:
            return await self._answer(msg)
        except (NotLeader, Busy):
            return self._try_elsewhere()
        except (LeadershipLost, StorageFailed):
            return OutcomeUnknown()

    def _try_elsewhere(self) -> TryElsewhere:
        for member in self._replica.members:
            if member.replica_id == self._replica.leader_id != self._replica.replica_id:
                return TryElsewhere(member.address)
        return TryElsewhere("")

    async def _answer(self, msg: Any) -> Any:
        match msg:
            case Heartbeat():
                return self._on_heartbeat(msg)
            case TakeClaim():
                return await self._on_claim(msg)
            case EndClaim() | EndPermit():
                return await self._commit(msg)
            case TakePermit():
                return await self._on_permit(msg)
            case ApplyChange():
                return await self._on_change(msg)
            case Read():
                return self._on_read(msg)
            case ChangeMember():
                return await self._on_member(msg)
            case _:
                return Refused((f"{type(msg).__name__} is not a request",))

    async def _commit(self, command: Command) -> Any:
        return await self._replica.propose(COMMAND_CODEC.encode(command))

    # Gateways

    def _on_heartbeat(self, msg: Heartbeat) -> HeartbeatReply | Refused:
        site = self._state.sites.get(msg.site)
        if site is None:
            allowed = ", ".join(self._state.layers.sites)
            return Refused((f"data centre {msg.site!r} is not configured; known: {allowed}",))
        self._duties.renew(msg)
        directory = self._duties.directory
        known = msg.ownership_version == directory.version
        deltas, full = self._what_is_missing(msg, site)
        return HeartbeatReply(
            SESSION_LEASE_MS,
            self._state.revision,
            site.digest,
            deltas,
            full,
            directory.version,
            None if known else directory.owners,
            None if known else directory.gateways,
            self._duties.give_up(msg.session),
        )

    def _what_is_missing(
        self, msg: Heartbeat, site: SiteConfig
    ) -> tuple[tuple[ConfigDelta, ...], ConfigFull | None]:
        behind = self._state.revision - msg.revision
        if behind == 0 and msg.digest == site.digest:
            return (), None
        if behind <= 0 or msg.revision < 0 or behind > MAX_DELTAS:
            return (), self._full(msg.site)
        records = self._state.audit[msg.revision :]
        return (
            tuple(
                ConfigDelta(record.revision, _patches_for(msg.site, record.change.patches))
                for record in records
            ),
            None,
        )

    def _full(self, site: str) -> ConfigFull:
        layers = self._state.layers.layers
        wanted = {name: layers[name] for name in (BASE_LAYER, site_layer(site)) if name in layers}
        return ConfigFull(self._state.revision, msgspec.json.encode(wanted).decode())

    async def _on_claim(self, msg: TakeClaim) -> Any:
        if len(msg.key) > MAX_CLAIM_KEY_CHARS:
            return Refused((f"an idempotency key has at most {MAX_CLAIM_KEY_CHARS} characters",))
        outcome = await self._commit(msg)
        if isinstance(outcome, ClaimHeld):
            claim = outcome.claim
            # The gateway that ran it is gone and can't say any more how the run ended.
            if claim.status is ClaimStatus.RUNNING and self._duties.is_over(claim.session):
                return ClaimHeld(replace(claim, status=ClaimStatus.UNKNOWN))
        return outcome

    async def _on_permit(self, msg: TakePermit) -> Any:
        limits = self._limits()
        if not self._duties.take_load_token(limits.loads_per_s):
            return NoPermit()
        command = TakePermit(msg.permit_id, msg.session, limits.loads_at_once)
        outcome = await self._commit(command)
        if isinstance(outcome, NoPermit):
            self._duties.return_load_token()
        return outcome

    def _limits(self) -> Limits:
        raw = self._state.layers.layers[BASE_LAYER].get("limits", {}).get(DEFAULT)
        return Limits() if raw is None else ENTRY_TYPES["limits"].validate_python(raw)

    # Operators

    def _operator(self, key: str) -> tuple[str, Role] | None:
        hashed = key_hash(key)
        if hashed == self._admin_key_sha256:
            return "admin", Role.ADMIN
        raw = self._state.layers.layers[BASE_LAYER].get("operators", {})
        for name, entry in raw.items():
            operator: Operator = ENTRY_TYPES["operators"].validate_python(entry)
            if operator.key_sha256 == hashed:
                return name, operator.role
        return None

    def _allowed(self, key: str, role: Role) -> str | Refused:
        operator = self._operator(key)
        if operator is None:
            return Refused(("unknown operator key",))
        name, own = operator
        if not own.includes(role):
            return Refused((f"{name} has the role {own.value}; this needs {role.value}",))
        return name

    async def _on_change(self, msg: ApplyChange) -> Changed | Conflict | Refused:
        made = self._state.change_made_by(msg.change_id)
        patches = read_json_text(msg.patches, "change")
        if patches.is_error():
            return Refused(tuple(str(finding) for finding in patches.error))
        secret = "operators" in patches.ok.get(BASE_LAYER, {})
        operator = self._allowed(msg.operator_key, Role.ADMIN if secret else Role.OPERATOR)
        if isinstance(operator, Refused):
            return operator
        if made is not None:
            return Changed(made.revision)
        change = ChangeConfig(
            msg.change_id,
            operator,
            msg.from_revision,
            msg.patches,
            msg.note,
            int(time.time() * 1000),
        )
        if msg.from_revision == self._state.revision:
            reasons = tuple(self._what_is_wrong(patches.ok))
            if reasons:
                return Refused(reasons)
        if msg.dry_run:
            return Changed(self._state.revision + 1)
        outcome: Changed | Conflict = await self._commit(change)
        return outcome

    def _what_is_wrong(self, patches: dict[str, Any]) -> Iterator[str]:
        shape = [f for layer, patch in patches.items() for f in check_patch(layer, patch)]
        yield from map(str, shape)
        if shape:
            return
        copied = msgspec.json.decode(msgspec.json.encode(self._state.layers.layers))
        candidate = LayeredConfig(copied)
        candidate.apply(patches)
        if not candidate.sites:
            yield "base#/sites: at least one site is needed"
        for layer in candidate.layers:
            if layer != BASE_LAYER and layer not in map(site_layer, candidate.sites):
                yield f"{layer}: there is no such site in base#/sites"
        for site in candidate.sites:
            before = self._state.sites.get(site)
            entries = SiteConfig(site, candidate).entries
            for finding in validate_site(site, entries, before.entries if before else {}):
                yield str(finding)

    def _on_read(self, msg: Read) -> Any:
        operator = self._allowed(msg.operator_key, Role.AUDITOR)
        if isinstance(operator, Refused):
            return operator
        match msg.what:
            case "layers":
                document = json.dumps(self._state.layers.layers)
                return ConfigView(self._state.revision, self._state.chain_hash, document)
            case "site":
                site = self._state.sites.get(msg.site)
                if site is None:
                    return Refused((f"no site {msg.site!r}; known: {self._state.layers.sites}",))
                return ConfigView(self._state.revision, site.digest, json.dumps(site.entries))
            case "audit":
                return AuditView(tuple(self._state.audit[msg.after :]))
            case "status":
                return self._status()
            case _:
                return Refused((f"no view {msg.what!r}; known: layers, site, audit, status",))

    def _status(self) -> StatusView:
        now_ms = self._clock.now_ms()
        members = (
            MemberView(
                member.replica_id,
                member.address,
                member.voter,
                self._replica.progress.match(member.replica_id),
                now_ms - self._replica.progress.answered_ms(member.replica_id),
            )
            for member in self._replica.members
        )
        gateways = (
            GatewayView(
                session.session,
                session.heartbeat.address,
                session.heartbeat.site,
                session.heartbeat.revision,
                session.heartbeat.digest,
                self._state.sites[session.heartbeat.site].digest,
                now_ms - session.heard_ms,
                session.heartbeat.leaving,
            )
            for session in self._duties.heard_sessions()
            if session.heartbeat is not None and session.heartbeat.site in self._state.sites
        )
        return StatusView(
            self._replica.replica_id,
            self._replica.term,
            self._replica.commit_index,
            self._state.revision,
            self._state.chain_hash,
            len(self._state.claims),
            len(self._state.permits),
            tuple(members),
            tuple(gateways),
            tuple(self._state.owners.values()),
            self._duties.live_engines(),
        )

    async def _on_member(self, msg: ChangeMember) -> Any:
        operator = self._allowed(msg.operator_key, Role.ADMIN)
        if isinstance(operator, Refused):
            return operator
        present = {member.replica_id: member for member in self._replica.members}
        match msg.action:
            case "add" if msg.replica_id not in present:
                present[msg.replica_id] = Member(msg.replica_id, msg.address, voter=False)
            case "promote" if msg.replica_id in present:
                present[msg.replica_id] = replace(present[msg.replica_id], voter=True)
            case "remove" if msg.replica_id in present:
                del present[msg.replica_id]
            case _:
                return Refused((f"can't {msg.action} {msg.replica_id}; members: {list(present)}",))
        try:
            await self._replica.change_members(tuple(present.values()))
        except ValueError as exc:
            return Refused((str(exc),))
        return Changed(self._state.revision)


def _patches_for(site: str, patches: str) -> str:
    wanted = (BASE_LAYER, site_layer(site))
    chosen = {layer: patch for layer, patch in json.loads(patches).items() if layer in wanted}
    return json.dumps(chosen)
