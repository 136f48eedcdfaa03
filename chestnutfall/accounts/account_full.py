"""Error of a holder that may not hold more."""

from __future__ import annotations


class AccountFull(Exception):
    """What is held for all peers together allows no more for this one."""
