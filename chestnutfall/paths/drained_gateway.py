"""Draining of a gateway that may also be sending calls for others."""

from __future__ import annotations

from collections.abc import Callable

from ..forwarding.drain import Drainable
from .helper_service import HelperService
from .leader_messages import CanHelp


class DrainedGateway(Drainable):
    """A gateway's server for clients together with its help for other gateways.

    Parameters
    ----------
    send : callable
        Sends a message to the leader.
    """

    def __init__(
        self, server: Drainable, helper: HelperService, send: Callable[[CanHelp], None]
    ) -> None:
        self._server = server
        self._helper = helper
        self._send = send

    def calls_in_progress(self) -> int:
        return self._server.calls_in_progress() + self._helper.in_progress

    def announce_leaving(self) -> None:
        self._server.announce_leaving()
        self._send(CanHelp(False, leaving=True))

    def refuse_new(self) -> None:
        self._server.refuse_new()
        self._helper.refuse_new()
