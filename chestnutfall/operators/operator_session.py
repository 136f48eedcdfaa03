"""Requests of one operator to the controllers."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ..clock import Clock
from ..control.commands import Changed, Conflict
from ..control.control_client import ControlClient, NoController
from ..control.messages import (
    ApplyChange,
    AuditView,
    ChangeMember,
    ConfigView,
    QuotaView,
    Read,
    Refused,
    StatusView,
)
from .exit_code import ExitCode

REQUEST_TIMEOUT_MS = 10_000
POLL_INTERVAL_S = 0.1


class CommandFailed(Exception):
    """Ends the command with an exit code.

    Attributes
    ----------
    code : ExitCode
        Exit code of the process; the exception's text is printed to standard error.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class OperatorSession:
    """Reads and changes the controllers' state with one operator's key.

    Every method raises `CommandFailed` when the controllers refuse the request or none answers.
    """

    def __init__(self, client: ControlClient, key: str, clock: Clock) -> None:
        self._client = client
        self._key = key
        self._clock = clock

    async def _request(self, msg: Any) -> Any:
        try:
            reply = await self._client.ask(msg, REQUEST_TIMEOUT_MS)
        except NoController as exc:
            raise CommandFailed(ExitCode.UNKNOWN, f"no controller answered: {exc}") from exc
        if isinstance(reply, Refused):
            raise CommandFailed(ExitCode.REFUSED, "\n".join(reply.reasons))
        return reply

    async def layers(self) -> tuple[int, dict[str, Any]]:
        """Return the newest revision and the content of each layer."""
        view: ConfigView = await self._request(Read(self._key, "layers"))
        return view.revision, json.loads(view.document)

    async def site(self, site: str) -> ConfigView:
        """Return the merged configuration in force at a data centre."""
        view: ConfigView = await self._request(Read(self._key, "site", site))
        return view

    async def status(self) -> StatusView:
        """Return the leader's view of controllers, gateways, engines and their owners."""
        view: StatusView = await self._request(Read(self._key, "status"))
        return view

    async def quotas(self) -> QuotaView:
        """Return what is left of each caller's rate limit."""
        view: QuotaView = await self._request(Read(self._key, "quotas"))
        return view

    async def audit(self, after: int) -> AuditView:
        """Return the audit records of changes accepted after a revision."""
        view: AuditView = await self._request(Read(self._key, "audit", after=after))
        return view

    async def member(self, action: str, replica_id: str, address: str) -> None:
        """Add, promote or remove a controller.

        Parameters
        ----------
        action : str
            `add`, `promote` or `remove`.
        address : str
            Address of a new controller; empty for the other actions.
        """
        await self._request(ChangeMember(self._key, action, replica_id, address))

    async def change(
        self,
        patches: dict[str, Any],
        from_revision: int,
        note: str,
        change_id: str,
        dry_run: bool,
    ) -> int:
        """Make a change and return its revision.

        Parameters
        ----------
        patches : dict of str to Any
            Patch of each layer.
        from_revision : int
            The change is refused if this is not the newest revision.
        change_id : str
            Identifies the change when it is sent again after a lost answer.
        dry_run : bool
            Only validate the change.

        Raises
        ------
        CommandFailed
            When the change is refused, when another change was accepted since `from_revision`,
            or when the outcome is unknown.
        """
        msg = ApplyChange(self._key, change_id, from_revision, json.dumps(patches), note, dry_run)
        reply = await self._request(msg)
        match reply:
            case Changed(revision):
                return revision
            case Conflict(revision, accepted_id, operator):
                raise CommandFailed(
                    ExitCode.CONFLICT,
                    f"{operator} changed revision {from_revision} ({accepted_id}); "
                    f"the newest revision is {revision}; this change was not accepted",
                )
            case _:
                raise CommandFailed(ExitCode.FAILED, f"unexpected answer {reply!r}")

    async def wait_in_force(self, revision: int, within_ms: int) -> list[str]:
        """Wait until every live gateway reports `revision` or a newer one.

        Returns
        -------
        list of str
            A line for each gateway that has an older revision after `within_ms`.
        """
        end_ms = self._clock.now_ms() + within_ms
        while True:
            status = await self.status()
            missing = [
                f"{gateway.session} at {gateway.site} has revision {gateway.revision}, heard "
                f"{gateway.heard_ms_ago} ms ago"
                for gateway in status.gateways
                if gateway.revision < revision
            ]
            if not missing or self._clock.now_ms() >= end_ms:
                return missing
            await asyncio.sleep(POLL_INTERVAL_S)
