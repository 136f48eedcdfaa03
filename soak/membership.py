"""Whether a controller that lost its disk is a member again."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence

from .daemon import Daemon

MEMBER_S = 20.0
"""Longest wait for a controller that lost its disk to become a member again."""
POLL_S = 0.1


def joins(controller: Daemon) -> list[str]:
    """Return the names under which a controller has asked to become a member, in order."""
    return re.findall(r"joining as ([\w-]+)", controller.log_text())


async def wait_until_member(
    controller: Daemon, controllers: Sequence[Daemon], joins_before: int
) -> bool:
    """Wait until the others have taken in a controller that lost its disk; return whether they did.

    On a busy host it takes seconds to start. If another one lost its disk before, two of three
    would be lost at once, which is more than they tolerate.

    Parameters
    ----------
    joins_before : int
        Number of `joins` before it lost its disk.
    """
    for _ in range(int(MEMBER_S / POLL_S)):
        joining = joins(controller)
        if len(joining) > joins_before and _is_member(joining[-1], controllers):
            return True
        await asyncio.sleep(POLL_S)
    return False


def _is_member(replica: str, controllers: Sequence[Daemon]) -> bool:
    as_voter = rf"replica_id='{re.escape(replica)}', address='[^']*', voter=True"
    taken_in = re.compile(rf"members become [^\n]*{as_voter}")
    return any(taken_in.search(one.log_text()) for one in controllers)
