"""Answers of the controllers to gateways and operators."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from typing import Any

import msgspec

from ..clock import Clock
from ..config.layered_config import BASE_LAYER, site_layer
from ..config.limits import Limits
from ..config.site_config import SiteConfig
from ..config.typed_config import DEFAULT_ENTRY, ENTRY_TYPES
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..quota.messages import AskQuota, UsedQuota, WasShort
from .claim import ClaimStatus
from .commands import (
    ClaimHeld,
    Command,
    Done,
    EndClaim,
    EndPermit,
    NoPermit,
    TakeClaim,
    TakePermit,
    UnreadableCommand,
    encode_command,
)
from .control_state import ControlState
from .crash_messages import AnsweredRun, BrokenRun, SuspectRequests
from .leader_duties import LeaderDuties
from .messages import (
    ApplyChange,
    ChangeMember,
    ConfigDelta,
    ConfigFull,
    Heartbeat,
    HeartbeatReply,
    OutcomeUnknown,
    Read,
    Refused,
    TryElsewhere,
)
from .operator_service import OperatorService
from .sessions import SESSION_LEASE_MS

log = logging.getLogger(__name__)

MAX_DELTAS = 100
"""Most revisions sent as deltas; a gateway that is further behind gets the whole configuration."""
MAX_CLAIM_KEY_CHARS = 512


class ControlService:
    """Answers all messages of the control protocol while this controller leads."""

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
        self._operators = OperatorService(replica, state, duties, clock, admin_key_sha256)

    async def handle(self, msg: Any) -> Any:
        """Answer `msg`, or redirect the sender if this replica does not lead.

        Returns
        -------
        Any
            The answer; `TryElsewhere` if nothing was done; `OutcomeUnknown` if leadership was lost
            or storage failed while the request was in progress.
        """
        if not self._duties.ensure_leading():
            return TryElsewhere(self._replica.leader_address())
        try:
            return await self._answer(msg)
        except UnreadableCommand as exc:
            log.error("control: %s not proposed: %s", type(msg).__name__, exc)
            return Refused((str(exc),))
        except (NotLeader, Busy):
            return TryElsewhere(self._replica.leader_address())
        except (LeadershipLost, StorageFailed):
            return OutcomeUnknown()

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
            case BrokenRun() | AnsweredRun():
                self._duties.crashes.handle_report(msg)
                return Done()
            case UsedQuota() | WasShort():
                return self._duties.quotas.record_use(msg)
            case AskQuota():
                return self._duties.quotas.ask(msg)
            case ApplyChange() | Read() | ChangeMember():
                return await self._operators.answer(msg)
            case _:
                return Refused((f"{type(msg).__name__} is not a request",))

    async def _commit(self, command: Command) -> Any:
        return await self._replica.propose(encode_command(command))

    # Gateways

    def _on_heartbeat(self, msg: Heartbeat) -> HeartbeatReply | Refused:
        site = self._state.sites.get(msg.site)
        if site is None:
            allowed = ", ".join(self._state.layers.sites)
            return Refused((f"data centre {msg.site!r} is not configured; known: {allowed}",))
        self._duties.renew(msg)
        directory = self._duties.directory
        known = msg.ownership_version == directory.version
        deltas, full = self._config_updates(msg, site)
        return HeartbeatReply(
            SESSION_LEASE_MS,
            self._state.revision,
            site.digest,
            deltas,
            full,
            directory.version,
            None if known else directory.owners,
            None if known else directory.gateways,
            self._duties.engines_to_release(msg.session),
            self._suspects_newer_than(msg.suspects_known),
        )

    def _suspects_newer_than(self, known: int) -> SuspectRequests | None:
        crashes = self._state.crashes
        return crashes.suspects() if crashes.changes != max(known, 0) else None

    def _config_updates(
        self, msg: Heartbeat, site: SiteConfig
    ) -> tuple[tuple[ConfigDelta, ...], ConfigFull | None]:
        """Return the changes that a gateway lacks, or the whole configuration.

        The whole configuration goes to a gateway that has none, is more than `MAX_DELTAS` revisions
        behind, is ahead of this leader, or holds other content under the same revision.
        """
        behind = self._state.revision - msg.revision
        if behind == 0 and msg.digest == site.digest:
            return (), None
        if behind <= 0 or msg.revision < 0 or behind > MAX_DELTAS:
            return (), self._full_config(msg.site)
        records = self._state.audit[msg.revision :]
        return (
            tuple(
                ConfigDelta(record.revision, _patches_for(msg.site, record.change.patches))
                for record in records
            ),
            None,
        )

    def _full_config(self, site: str) -> ConfigFull:
        layers = self._state.layers.layers
        wanted = {name: layers[name] for name in (BASE_LAYER, site_layer(site)) if name in layers}
        return ConfigFull(self._state.revision, msgspec.json.encode(wanted).decode())

    async def _on_claim(self, msg: TakeClaim) -> Any:
        if len(msg.key) > MAX_CLAIM_KEY_CHARS:
            return Refused((f"an idempotency key has at most {MAX_CLAIM_KEY_CHARS} characters",))
        outcome = await self._commit(msg)
        if isinstance(outcome, ClaimHeld):
            claim = outcome.claim
            # The gateway that ran the request is gone, so the outcome of the run can't be known.
            if claim.status is ClaimStatus.RUNNING and self._duties.has_expired(claim.session):
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
        raw = self._state.layers.layers[BASE_LAYER].get("limits", {}).get(DEFAULT_ENTRY)
        return Limits() if raw is None else ENTRY_TYPES["limits"].validate_python(raw)


def _patches_for(site: str, patches: str) -> str:
    wanted = (BASE_LAYER, site_layer(site))
    chosen = {layer: patch for layer, patch in json.loads(patches).items() if layer in wanted}
    return json.dumps(chosen)
