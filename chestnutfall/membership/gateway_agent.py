"""A gateway's session with the controllers."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..config.layered_config import LayeredConfig
from ..config.site_config import SiteConfig
from ..config.typed_config import TypedConfig
from ..control.control_client import ControlClient, NoController
from ..control.crash_messages import NO_SUSPECTS, SuspectRequests
from ..control.messages import (
    ConfigDelta,
    ConfigFull,
    EngineSeen,
    GatewayAddress,
    Heartbeat,
    HeartbeatReply,
)
from ..control.ownership import Ownership
from .upstream_registry import UpstreamRegistry

log = logging.getLogger(__name__)
HEARTBEAT_MS = 400
HEARTBEAT_DEADLINE_MS = 2000
NOTHING_APPLIED = -1
MAX_CUT_LINKS = 1_024
"""Cut links that a heartbeat names; about 30 bytes each."""


class GatewayAgent:
    """Keeps a gateway's session alive and holds what the controllers sent to it.

    It sends heartbeats, and applies configuration, engine ownership, the list of gateways and
    the session's lease from the replies.

    Parameters
    ----------
    session : str
        Name and incarnation of this gateway.
    address : str
        IP and port for other gateways.
    site : str
        Data centre of this gateway.
    config_lease_ms : int
        How long a confirmed configuration may be served without a new confirmation.

    Attributes
    ----------
    config : TypedConfig
        Newest configuration received for this data centre.
    revision : int
        Its revision; -1 before the first.
    owners : dict of str to Ownership
        Owner of each engine.
    gateways : dict of str to GatewayAddress
        Live gateways by session.
    leaving : bool
        Set by the gateway when it drains: it then owns no engine, and its heartbeats ask for none.
    acting : callable
        Returns the engines that this gateway still acts for, also while it hands them over;
        sent with each heartbeat.
    cut_links : callable
        Returns the upstreams that this gateway does not reach; sent with each heartbeat.
    on_change : callable
        Called after each reply has been applied.
    on_suspects : callable
        Called with the requests suspected of ending upstreams, when they changed.
    """

    def __init__(
        self,
        session: str,
        address: str,
        site: str,
        client: ControlClient,
        registry: UpstreamRegistry,
        clock: Clock,
        config_lease_ms: int,
    ) -> None:
        self.session = session
        self.config = TypedConfig()
        self.revision = NOTHING_APPLIED
        self.owners: dict[str, Ownership] = {}
        self.gateways: dict[str, GatewayAddress] = {}
        self.leaving = False
        self.acting: Callable[[], Iterable[str]] = tuple
        self.cut_links: Callable[[], Iterable[str]] = tuple
        self.on_change: Callable[[], None] = lambda: None
        self.on_suspects: Callable[[SuspectRequests], None] = lambda suspects: None
        self._address = address
        self._site = site
        self._client = client
        self._registry = registry
        self._clock = clock
        self._config_lease_ms = config_lease_ms
        self._layers = LayeredConfig()
        self._merged = SiteConfig(site, self._layers)
        self._confirmed_ms: int | None = None
        self._lease_until_ms = 0
        self._ownership_version = ""
        self._suspects_known = NO_SUSPECTS.changes
        self._give_up: frozenset[str] = frozenset()
        self._sent_engines: tuple[EngineSeen, ...] | None = None

    # Queries

    def is_config_confirmed(self) -> bool:
        """Whether the controllers confirmed this configuration within `config_lease_ms`.

        A gateway serves nothing before the first confirmation after its start, so it never
        serves with a configuration from before a restart.
        """
        if self._confirmed_ms is None:
            return False
        return self._clock.now_ms() < self._confirmed_ms + self._config_lease_ms

    def ownership_epoch(self, engine: str) -> int | None:
        """Return the epoch of this gateway's ownership of `engine`.

        None when this gateway is not the owner, was asked to give up the engine, is leaving, or
        has lost its lease; it must not act for the engine then.
        """
        owner = self.owners.get(engine)
        if owner is None or owner.owner != self.session or engine in self._give_up:
            return None
        if self.leaving or self._clock.now_ms() >= self._lease_until_ms:
            return None
        return owner.epoch

    def has_session(self) -> bool:
        """Whether the session's lease is valid."""
        return self._clock.now_ms() < self._lease_until_ms

    # Heartbeats

    async def run(self) -> None:
        """Send heartbeats until cancelled, with a pause of `HEARTBEAT_MS` after each."""
        while True:
            await self.send_heartbeat()
            await self._clock.sleep_ms(HEARTBEAT_MS)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and apply the reply; without a usable reply nothing changes."""
        sent_ms = self._clock.now_ms()
        heartbeat = self._heartbeat()
        try:
            reply = await self._client.ask(heartbeat, HEARTBEAT_DEADLINE_MS)
        except NoController as exc:
            log.warning("session: no controller answers: %s", exc)
            # The next reply may come from a new leader, which doesn't have the list of engines.
            self._sent_engines = None
            return
        if not isinstance(reply, HeartbeatReply):
            log.error("session: refused: %s", reply)
            return
        self._apply_reply(reply, sent_ms)

    def _heartbeat(self) -> Heartbeat:
        engines = tuple(
            sorted(
                (
                    EngineSeen(u.name, u.announcement.incarnation, u.announcement.service)
                    for u in self._registry.serving()
                ),
                key=lambda seen: seen.name,
            )
        )
        changed = engines != self._sent_engines
        self._sent_engines = engines
        digest = self._merged.digest if self.revision >= 0 else ""
        return Heartbeat(
            self.session,
            self._address,
            self._site,
            self.revision,
            digest,
            engines if changed else None,
            tuple(self.acting()),
            self.leaving,
            self._ownership_version,
            self._suspects_known,
            tuple(self.cut_links())[:MAX_CUT_LINKS],
        )

    def _apply_reply(self, reply: HeartbeatReply, sent_ms: int) -> None:
        if reply.revision < self.revision:
            # The replica lags behind, or the cluster lost data. An accepted revision is never
            # reverted: the newer one stays, and serving stops when its confirmation expires.
            log.error("config: ignored revision %d, %d is applied", reply.revision, self.revision)
            return
        if reply.full is not None:
            self._apply_full(reply.full)
        for delta in reply.deltas:
            self._apply_delta(delta)
        if reply.owners is not None:
            # A version begins with the leader's term. The leader of another term doesn't have the
            # list of engines yet.
            if reply.ownership_version.split(".")[0] != self._ownership_version.split(".")[0]:
                self._sent_engines = None
            self.owners = {one.engine: one for one in reply.owners}
            self.gateways = {one.session: one for one in reply.gateways or ()}
            self._ownership_version = reply.ownership_version
        if reply.suspects is not None:
            self._suspects_known = reply.suspects.changes
            self.on_suspects(reply.suspects)
        self._give_up = frozenset(reply.give_up)
        # The controller received the heartbeat later than it was sent. So a lease that is counted
        # from the sending ends here before it ends at the controller.
        self._lease_until_ms = sent_ms + reply.lease_ms
        if self.revision == reply.revision:
            if self._merged.digest == reply.digest:
                self._confirmed_ms = sent_ms
            else:
                log.error("config: digest differs at revision %d", self.revision)
        self.on_change()

    def _apply_full(self, full: ConfigFull) -> None:
        self._layers = LayeredConfig(json.loads(full.layers))
        self._merged = SiteConfig(self._site, self._layers)
        self.config = TypedConfig()
        self.config.update(self._merged.entries, self._layers.names(self._site))
        self.revision = full.revision
        log.info("config: revision %d applied as a whole", self.revision)

    def _apply_delta(self, delta: ConfigDelta) -> None:
        # Deltas may be repeated, or some may be missing; only the next revision can be applied.
        if delta.revision != self.revision + 1:
            return
        touched = self._layers.apply(json.loads(delta.patches))
        self._merged.update(self._layers, touched)
        self.config.update(self._merged.entries, touched)
        self.revision = delta.revision
        log.info("config: revision %d applied", self.revision)
