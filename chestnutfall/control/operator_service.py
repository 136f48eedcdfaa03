"""Answers of the controllers to operators."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from ..clock import Clock
from ..config.layered_config import BASE_LAYER, LayeredConfig, check_patch, site_layer
from ..config.operator import Operator, Role
from ..config.site_config import SiteConfig
from ..config.typed_config import ENTRY_TYPES
from ..config.validation import validate_site
from ..consensus import Member, Replica
from ..findings.finding import Finding
from ..findings.json_document import read_json_text
from ..requests import key_digest
from .commands import ChangeConfig, Changed, Conflict, encode_command
from .control_state import ControlState
from .leader_duties import LeaderDuties
from .messages import (
    ApplyChange,
    AuditView,
    ChangeMember,
    ConfigView,
    GatewayView,
    MemberView,
    QuotaView,
    Read,
    Refused,
    StatusView,
)

MAX_TOUCHED = 4000
"""Validating and applying a change takes about 25 µs per entry and site, and blocks the event
loop."""


class OperatorService:
    """Authenticates operators by their keys, and answers the requests that their roles allow."""

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

    async def answer(self, msg: ApplyChange | Read | ChangeMember) -> Any:
        """Answer an operator's request; called on the leader only.

        A request that the operator's role does not allow is answered with `Refused`.
        """
        match msg:
            case ApplyChange():
                return await self._on_change(msg)
            case Read():
                return self._on_read(msg)
            case ChangeMember():
                return await self._on_member(msg)

    def _operator(self, key: str) -> tuple[str, Role] | None:
        hashed = key_digest(key)
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
        made = self._state.accepted_change(msg.change_id)
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
            reasons = tuple(self._validation_errors(patches.ok))
            if reasons:
                return Refused(reasons)
        if msg.dry_run:
            return Changed(self._state.revision + 1)
        outcome: Changed | Conflict = await self._replica.propose(encode_command(change))
        return outcome

    def _validation_errors(self, patches: dict[str, Any]) -> Iterator[str]:
        shape = [f for layer, patch in patches.items() for f in check_patch(layer, patch)]
        yield from map(str, shape)
        if shape:
            return
        candidate = self._state.layers.copy_for(patches)
        touched = candidate.apply(patches)
        if len(touched) > MAX_TOUCHED:
            yield f"the change touches {len(touched)} entries; at most {MAX_TOUCHED} at a time"
            return
        if not candidate.sites:
            yield "base#/sites: at least one site is needed"
        for layer in candidate.layers:
            if layer != BASE_LAYER and layer not in map(site_layer, candidate.sites):
                yield f"{layer}: there is no such site in base#/sites"
        for site in candidate.sites:
            yield from map(str, self._site_findings(site, candidate, touched))

    def _site_findings(
        self, site: str, candidate: LayeredConfig, touched: frozenset[tuple[str, str]]
    ) -> list[Finding]:
        present = self._state.sites.get(site)
        if present is None:
            entries = SiteConfig(site, candidate).entries
            return validate_site(site, entries, {}, candidate.names(site))
        entries = present.entries_with(candidate, touched)
        return validate_site(site, entries, present.entries, touched)

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
            case "quotas":
                return QuotaView(self._duties.quotas.levels())
            case _:
                return Refused(
                    (f"no view {msg.what!r}; known: layers, site, audit, status, quotas",)
                )

    def _status(self) -> StatusView:
        now_ms = self._clock.now_ms()
        members = (
            MemberView(
                member.replica_id,
                member.address,
                member.voter,
                self._replica.progress.match_index(member.replica_id),
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
                now_ms - session.last_seen_ms,
                session.heartbeat.leaving,
            )
            for session in self._duties.sessions_with_heartbeat()
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
