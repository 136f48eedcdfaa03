"""The gateways that help one that is cut off, where gateways know each other by themselves."""

from __future__ import annotations

from collections.abc import Sequence

from ..paths.helper_ring import RingGateway, helpers_of_all
from ..paths.known_helpers import KnownHelpers
from ..paths.leader_messages import HelperGateways
from .gateway_agent import GatewayAgent


class PeerHelpers:
    """Names a gateway's helpers from the list of live gateways that the controllers send.

    A gateway shows its session as its key. Sessions are random, and only controllers and gateways
    know them.
    """

    def __init__(self, agent: GatewayAgent, helpers: KnownHelpers) -> None:
        self._agent = agent
        self._helpers = helpers

    def update(self) -> None:
        """Name the helpers anew; called when the list of gateways has changed."""
        ring = [
            RingGateway(session, one.address, "") for session, one in self._agent.gateways.items()
        ]
        addresses = helpers_of_all(ring).get(self._agent.session, ())
        self._helpers.apply(HelperGateways(addresses, self._agent.session))

    def accepts(self, keys: Sequence[str]) -> bool:
        """Whether one of the keys is the session of a live gateway."""
        return any(key in self._agent.gateways for key in keys)

    def is_alone(self) -> bool:
        """Whether no other gateway is live."""
        return len(self._agent.gateways) <= 1
