"""Errors of proposals and of storage."""

from __future__ import annotations


class NotLeader(Exception):
    """Nothing was proposed: this replica is not the leader, or its lease has expired."""


class Busy(Exception):
    """Nothing was proposed: too many proposals are in progress."""


class LeadershipLost(Exception):
    """Leadership ended with the proposal in the log; a later leader may still commit it."""


class StorageFailed(Exception):
    """A write or sync failed; the replica must stop without a retry."""
