"""The gateways that help one that is cut off, where gateways know each other by themselves."""

from __future__ import annotations

from collections.abc import Sequence

from ..paths.helper_ring import RingGateway, dealt_out, helpers_of_all, in_order
from ..paths.known_helpers import KnownHelpers
from ..paths.leader_messages import HelperGateways, HelpersByUpstream, UpstreamHelpers
from .gateway_agent import GatewayAgent


class PeerHelpers:
    """Names a gateway's helpers from the list of live gateways that the controllers send.

    A gateway shows its session as its key. Sessions are random, and only controllers and gateways
    know them.
    """

    def __init__(self, agent: GatewayAgent, helpers: KnownHelpers) -> None:
        self._agent = agent
        self._helpers = helpers
        self._named: set[str] = set()

    def update(self) -> None:
        """Name the helpers anew; called when the list of gateways has changed."""
        ring = [
            RingGateway(session, one.address, "") for session, one in self._agent.gateways.items()
        ]
        addresses = helpers_of_all(ring).get(self._agent.session, ())
        self._helpers.apply(HelperGateways(addresses, self._agent.session))
        self._name_by_upstream()

    def _name_by_upstream(self) -> None:
        """Name those that reach each upstream that this gateway does not reach."""
        gateways = self._agent.gateways
        own = gateways.get(self._agent.session)
        cut = own.cut if own is not None else ()
        gone = tuple(self._named.difference(cut))
        self._named = set(cut)
        if not cut and not gone:
            return
        self._helpers.apply_links(
            HelpersByUpstream(tuple(self._helpers_for(one) for one in cut), gone)
        )

    def _helpers_for(self, instance: str) -> UpstreamHelpers:
        gateways = self._agent.gateways
        ring = in_order(RingGateway(name, one.address, "") for name, one in gateways.items())
        able = [one for one in ring if instance not in gateways[one.name].cut]
        lost = [one for one in ring if instance in gateways[one.name].cut]
        return UpstreamHelpers(instance, dealt_out(lost, able)[self._agent.session])

    def accepts(self, keys: Sequence[str]) -> bool:
        """Whether one of the keys is the session of a live gateway."""
        return any(key in self._agent.gateways for key in keys)

    def is_alone(self) -> bool:
        """Whether no other gateway is live."""
        return len(self._agent.gateways) <= 1
