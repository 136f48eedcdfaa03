"""Gateways that are cut off and all send long bodies through one helper."""

from __future__ import annotations

import asyncio
from typing import Any

from ..clock import SystemClock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.call import Call, Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..paths.helper_links import HelperLinks
from .crowd_scenario import CrowdScenario, CrowdTestCase

PEERS = 60
BODY = b"p" * 2_000_000
WAIT_MS = 60_000


class _NothingRead(UpstreamApi):
    """Reads no answers, as none comes."""

    def send(self, forwarded: ForwardedCall) -> Any:
        raise AssertionError(forwarded)

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> Any:
        raise AssertionError(status)


class CrowdsAtHelpersTest(CrowdTestCase):
    # Guards against a helper that is killed for its memory by the calls of many gateways, each of
    # which sends no more than it may.
    def test_gateways_that_all_choose_one_helper(self) -> None:
        self.play_script(self._choose_one)

    async def _choose_one(self, play: CrowdScenario) -> None:
        helper = play.office.gateways[0]
        address = play.office.peer_links.address_of(helper)
        asked = await asyncio.gather(*(_ask(address) for _ in range(PEERS)))
        self.assertEqual(len(asked), PEERS)
        play.is_answered = await play.is_served(helper)


async def _ask(address: str) -> bool:
    """Ask a helper as a gateway of its own; return whether it sent the call."""
    links = HelperLinks(_NothingRead(), SystemClock())
    call = Call("a", "POST", "/again/x", "/again/x", "host", (), BODY, 0, WAIT_MS)
    upstream = UpstreamRecord("i1", "s", "127.0.0.1:1", "dc")
    forwarded = ForwardedCall(call, upstream, 0, 1, WAIT_MS, None, False, WAIT_MS)
    try:
        async with links.send(address, ("key",), forwarded):
            return True
    except (NotSent, AnswerLost):
        return False
    finally:
        await links.close()
