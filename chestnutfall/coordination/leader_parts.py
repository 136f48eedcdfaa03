"""The parts of the leader that gateways and upstreams concern, linked with each other."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from ..accounts import MemoryAccount
from ..clock import Clock
from ..consensus import Replica
from ..control.control_state import ControlState
from ..control.crash_monitor import CrashMonitor
from ..control.upstream_record import UpstreamRecord
from ..limits.limit_registry import LimitRegistry
from ..placement import Grant, Order, Reject
from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
from ..settings.quota_bounds import QuotaBounds
from ..settings.repeat_bounds import RepeatBounds
from ..signals.backoff_registry import BackoffRegistry
from .backoff_coordinator import BackoffCoordinator
from .gateway_broadcaster import GatewayBroadcaster
from .gateway_observations import GatewayObservations
from .gateway_sessions import GatewaySessions
from .helper_directory import HelperDirectory
from .limit_coordinator import LimitCoordinator
from .link_directory import LinkDirectory
from .origin_coordinator import OriginCoordinator
from .rejection_coordinator import RejectionCoordinator
from .repeat_pool import RepeatPool
from .upstream_tracker import UpstreamTracker

log = logging.getLogger(__name__)


class LeaderParts:
    """Placement, coordinators and directories of one leader term.

    They begin with empty state. What concerns several of them at once is passed on here; each can
    also be called by itself.

    Parameters
    ----------
    memory : MemoryAccount
        What the requests of gateways draw from.
    is_configured_service, on_serving, wake : callable
        See `UpstreamTracker`.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        clock: Clock,
        heartbeat_ms: int,
        repeats: RepeatBounds,
        quotas: QuotaBounds,
        memory: MemoryAccount,
        is_configured_service: Callable[[str], bool],
        on_serving: Callable[[list[UpstreamRecord]], None],
        wake: Callable[[], None],
    ) -> None:
        self._state = state
        limits, backoffs = LimitRegistry(clock), BackoffRegistry(clock)
        self.placer = Placer(clock, limits, backoffs)
        self.quotas = QuotaLedger(quotas, clock)
        self.repeats = RepeatPool(repeats, clock)
        self.crashes = CrashMonitor(replica, state, clock, self.placer.suspects)
        self.sessions = GatewaySessions(memory)
        self.limits = LimitCoordinator(limits, backoffs, self.placer, self.sessions, clock)
        self.backoffs = BackoffCoordinator(backoffs, self.placer, self.sessions, clock)
        self.helpers = HelperDirectory(clock)
        self.links = LinkDirectory(clock)
        self.rejections = RejectionCoordinator(self.placer, self.limits.turns, self.sessions, clock)
        self.origins = OriginCoordinator(self.placer, self.sessions, clock)
        self.broadcaster = GatewayBroadcaster(self.sessions, state, self.placer, self.quotas, clock)
        self.upstreams = UpstreamTracker(
            replica,
            state,
            self.crashes,
            clock,
            heartbeat_ms,
            is_configured_service,
            on_serving,
            wake,
        )
        self.observations = GatewayObservations(self.placer, self.upstreams, self.crashes, clock)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for a place, a turn or an answer about its stream."""
        return bool(self.placer.waiting or self.limits.waiting or self.origins.waiting)

    def set_serving(self, serving: list[UpstreamRecord], controllers: tuple[str, ...]) -> None:
        """Apply the upstreams that serve now, whose engines placement knows already.

        Parameters
        ----------
        controllers : tuple of str
            Addresses of all controllers.
        """
        self.origins.set_mixed(self._state.roster.mixed_services())
        self.broadcaster.send_upstreams(serving)
        self.broadcaster.send_controllers(controllers)
        self.links.set_engines(self.placer.engines, (one.instance for one in serving))
        self.limits.set_serving(serving)
        self.rejections.set_serving(serving)
        self.backoffs.set_serving(serving)

    def send_due(self) -> None:
        """Send the state that gateways have to know and whose interval has passed."""
        self.broadcaster.send_due()
        self.helpers.send_due()
        self.links.send_due()

    def decide(self) -> Iterator[Order]:
        """Send the decisions of one round to gateways, and yield its orders to engines."""
        for decision in self.placer.decide():
            match decision:
                case Grant(ticket):
                    self.origins.granted(decision)
                    self.sessions.note_granted(ticket)
                    self.sessions.send_to_holder(ticket, decision)
                case Reject(ticket, reason):
                    log.info("place: ticket=%s rejected reason=%s", ticket, reason)
                    self.origins.not_granted(ticket)
                    self.sessions.send_to_holder(ticket, decision)
                    self.sessions.release_ticket(ticket)
                case order:
                    yield order
        self.limits.send_due()
        self.backoffs.send_due()
        self.origins.send_due()
