"""Mutants of every safeguard that a test covers, by subject."""

from __future__ import annotations

from .account_mutants import ACCOUNT_MUTANTS
from .answer_head_mutants import ANSWER_HEAD_MUTANTS
from .caller_mutants import CALLER_MUTANTS
from .completion_end_mutants import COMPLETION_END_MUTANTS
from .completion_silence_mutants import COMPLETION_SILENCE_MUTANTS
from .connection_mutants import CONNECTION_MUTANTS
from .consensus_mutants import CONSENSUS_MUTANTS
from .control_mutants import CONTROL_MUTANTS
from .endless_answer_mutants import ENDLESS_ANSWER_MUTANTS
from .fleet_mutants import FLEET_MUTANTS
from .left_client_mutants import LEFT_CLIENT_MUTANTS
from .limit_mutants import LIMIT_MUTANTS
from .part_mutants import PART_MUTANTS
from .path_mutants import PATH_MUTANTS
from .placement_mutants import PLACEMENT_MUTANTS
from .quarantine_mutants import QUARANTINE_MUTANTS
from .quota_mutants import QUOTA_MUTANTS
from .request_end_mutants import REQUEST_END_MUTANTS
from .room_mutants import ROOM_MUTANTS
from .rush_mutants import RUSH_MUTANTS
from .signal_mutants import SIGNAL_MUTANTS
from .silence_mutants import SILENCE_MUTANTS
from .speed_mutants import SPEED_MUTANTS
from .stream_mutants import STREAM_MUTANTS

MUTANTS = (
    *CONSENSUS_MUTANTS,
    *CONTROL_MUTANTS,
    *CALLER_MUTANTS,
    *COMPLETION_END_MUTANTS,
    *COMPLETION_SILENCE_MUTANTS,
    *PLACEMENT_MUTANTS,
    *SPEED_MUTANTS,
    *FLEET_MUTANTS,
    *QUARANTINE_MUTANTS,
    *QUOTA_MUTANTS,
    *SIGNAL_MUTANTS,
    *LIMIT_MUTANTS,
    *ROOM_MUTANTS,
    *CONNECTION_MUTANTS,
    *PATH_MUTANTS,
    *STREAM_MUTANTS,
    *PART_MUTANTS,
    *RUSH_MUTANTS,
    *SILENCE_MUTANTS,
    *REQUEST_END_MUTANTS,
    *LEFT_CLIENT_MUTANTS,
    *ENDLESS_ANSWER_MUTANTS,
    *ANSWER_HEAD_MUTANTS,
    *ACCOUNT_MUTANTS,
)

__all__ = ["MUTANTS"]
