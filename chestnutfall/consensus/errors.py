"""Why a proposal did not give an outcome."""

from __future__ import annotations


class NotLeader(Exception):
    """Nothing was proposed: this replica does not lead, or its leader lease ran out."""


class Busy(Exception):
    """Nothing was proposed: too many proposals are waiting."""


class LeadershipLost(Exception):
    """The proposal may or may not be committed by a later leader."""


class StorageFailed(Exception):
    """The disk failed; this replica must stop and not retry."""
