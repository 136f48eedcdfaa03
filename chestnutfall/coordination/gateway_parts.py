"""The leader's parts that gateways speak to."""

from __future__ import annotations

from dataclasses import dataclass

from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
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


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """What the messages of gateways are passed to, during one leader term."""

    placer: Placer
    sessions: GatewaySessions
    broadcaster: GatewayBroadcaster
    repeats: RepeatPool
    quotas: QuotaLedger
    origins: OriginCoordinator
    helpers: HelperDirectory
    links: LinkDirectory
    limits: LimitCoordinator
    backoffs: BackoffCoordinator
    rejections: RejectionCoordinator
    observations: GatewayObservations
