"""Relays on the links of gateways to controllers and to other gateways."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager

from .daemon import Daemon
from .relay import Relay


class PeerLinks:
    """One relay for each pair of a gateway and a daemon that it calls.

    Links between controllers have none.

    Parameters
    ----------
    port : int
        Port on which all daemons take calls of each other.
    """

    def __init__(
        self, gateways: Sequence[Daemon], controllers: Sequence[Daemon], port: int
    ) -> None:
        self._gateways = gateways
        self._port = port
        self._relays = {
            (gateway.plan.name, target.plan.name): Relay(self.address_of(target))
            for gateway in gateways
            for target in (*controllers, *gateways)
            if target is not gateway
        }
        self._targets = {one.plan.name: one for one in (*controllers, *gateways)}

    def address_of(self, daemon: Daemon) -> str:
        """Return the address at which a daemon takes calls of others."""
        return f"{daemon.plan.ip}:{self._port}"

    async def start(self) -> None:
        """Start the relays and let gateways use them; called before gateways start."""
        for relay in self._relays.values():
            await relay.start()
        for gateway in self._gateways:
            gateway.write_peers(
                json.dumps(
                    {
                        self.address_of(self._targets[target]): relay.address
                        for (name, target), relay in self._relays.items()
                        if name == gateway.plan.name
                    }
                )
            )

    @contextmanager
    def holding(self, gateways: Sequence[Daemon], targets: Sequence[Daemon]) -> Iterator[None]:
        """Hold the bytes between gateways and targets for as long as the context lasts."""
        with ExitStack() as stack:
            for gateway in gateways:
                for target in targets:
                    if target is not gateway:
                        relay = self._relays[gateway.plan.name, target.plan.name]
                        stack.enter_context(relay.holding())
            yield

    async def stop(self) -> None:
        """Stop the relays."""
        for relay in self._relays.values():
            await relay.stop()
