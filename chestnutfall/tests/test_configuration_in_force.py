"""An accepted configuration is in force everywhere within seconds and is never reverted.

Guards against a gateway that still honours a grant which the audit log shows as revoked. That can
happen when a gateway is cut off, restarts, loses answers, or gets one from a controller that lags.
"""

from __future__ import annotations

import json
import unittest
from typing import Any

from ..config.layered_config import BASE_LAYER
from ..control.commands import Changed, Conflict
from ..control.messages import ConfigFull, HeartbeatReply, Refused
from .fakes.fake_office import SITE, FakeOffice


def _grant(*adapters: str) -> dict[str, Any]:
    return {BASE_LAYER: {"callers": {"ana": {"adapters": list(adapters)}}}}


class ConfigurationInForceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = FakeOffice()
        await self.office.start(gateways=9, engines=1)

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    async def test_change_is_in_force_at_nine_gateways_within_a_second(self) -> None:
        self.assertEqual(await self.office.control.change(_grant("a1")), Changed(2))
        await self.office.clock.advance(1000)
        for gateway in self.office.gateways.values():
            self.assertEqual(gateway.agent.revision, 2)
            self.assertFalse(gateway.agent.config.callers["ana"].may_use_adapter("a2"))

    async def test_losing_one_of_two_concurrent_changes_gets_the_winners_operator(self) -> None:
        await self.office.control.change(_grant("a1"), 1)
        loser = await self.office.control.change(_grant("a2"), 1)
        self.assertIsInstance(loser, Conflict)
        self.assertEqual((loser.revision, loser.operator), (2, "admin"))

    async def test_change_with_any_invalid_part_is_refused_whole(self) -> None:
        bad = {
            BASE_LAYER: {
                "adapters": {"new": {"service": "redactor-ia", "versions": {"1": "short"}}},
                "callers": {"ana": {"adapters": ["missing"]}},
            },
            "site:elsewhere": {"limits": {"default": {"request_ms": 0}}},
        }
        refused = await self.office.control.change(bad)
        self.assertIsInstance(refused, Refused)
        text = "\n".join(refused.reasons)
        for path in ("/adapters/new", "/callers/ana/adapters", "site:elsewhere"):
            self.assertIn(path, text)
        self.assertEqual(self.office.control.state.revision, 1)

    async def test_change_that_breaks_a_reference_is_refused(self) -> None:
        # Each change removes or alters one entry and would break another that it does not name.
        await self.office.control.change(_grant("a1"))
        cases = {
            "/callers/ana/adapters": {"adapters": {"a1": None}},
            "/adapters/a2/service": {"services": {"redactor-ia": {"kind": "plain", "path": "/x"}}},
            "/adapters/a3/service": {"services": {"redactor-ia": None}},
        }
        for path, patch in cases.items():
            for layer in (BASE_LAYER, f"site:{SITE}"):
                with self.subTest(path=path, layer=layer):
                    refused = await self.office.control.change({layer: patch})
                    self.assertIsInstance(refused, Refused)
                    self.assertIn(path, "\n".join(refused.reasons))

    async def test_too_large_a_change_is_refused_with_the_bound(self) -> None:
        names = {f"callers-{number}": None for number in range(4001)}
        refused = await self.office.control.change({BASE_LAYER: {"callers": names}})
        self.assertIsInstance(refused, Refused)
        self.assertIn("at most 4000", refused.reasons[0])

    async def test_digest_of_an_accepted_version_can_not_change(self) -> None:
        other = {"versions": {"1": "sha256:" + "cd" * 32}}
        refused = await self.office.control.change({BASE_LAYER: {"adapters": {"a1": other}}})
        self.assertIsInstance(refused, Refused)
        self.assertIn("can't change", refused.reasons[0])

    async def test_gateway_that_is_cut_off_refuses_when_its_lease_is_over(self) -> None:
        # A grant may have been revoked since, so the gateway refuses requests. It must still serve
        # for longer than an election takes, when no controller answers either.
        gateway = self.office.gateway(0)
        gateway.client.cut = True
        await self.office.clock.advance(2500)
        self.assertTrue(gateway.agent.is_config_confirmed())
        await self.office.clock.advance(4000)
        self.assertFalse(gateway.agent.is_config_confirmed())
        gateway.client.cut = False
        await self.office.clock.advance(2500)
        self.assertTrue(gateway.agent.is_config_confirmed())

    async def test_gateway_serves_nothing_before_its_first_confirmation(self) -> None:
        gateway = self.office.add_gateway("entry-new")
        gateway.client.cut = True
        await self.office.clock.advance(5000)
        self.assertFalse(gateway.agent.is_config_confirmed())
        gateway.client.cut = False
        await self.office.clock.advance(3000)
        self.assertTrue(gateway.agent.is_config_confirmed())

    async def test_older_revision_is_never_applied(self) -> None:
        # A controller that lost data or lags behind answers with an older revision.
        await self.office.control.change(_grant("a1"))
        await self.office.clock.advance(1000)
        agent = self.office.gateway(0).agent
        layers = json.dumps({BASE_LAYER: {"callers": {"ana": {"adapters": ["*"]}}}})
        full = ConfigFull(1, layers)
        old_reply = HeartbeatReply(1500, 1, "", (), full, "0.1", (), (), ())
        agent._apply_reply(old_reply, self.office.clock.now_ms())
        self.assertEqual(agent.revision, 2)
        self.assertFalse(agent.config.callers["ana"].may_use_adapter("a2"))

    async def test_wrong_content_is_detected_by_its_digest_and_fetched_again(self) -> None:
        agent = self.office.gateway(0).agent
        layers = {BASE_LAYER: {"callers": {"ana": {"adapters": []}}}}
        agent._merged.update(type(agent._layers)(layers), [("callers", "ana")])
        await self.office.clock.advance(1000)
        self.assertEqual(agent._merged.digest, self.office.control.state.sites[SITE].digest)
        self.assertTrue(agent.is_config_confirmed())

    async def test_gaps_and_doubles_of_deltas_do_no_harm(self) -> None:
        gateway = self.office.gateway(0)
        gateway.client.cut = True
        for number in range(1, 6):
            await self.office.control.change(_grant(f"a{number}"))
        gateway.client.cut = False
        gateway.client.lose_answers = True
        await self.office.clock.advance(500)
        gateway.client.lose_answers = False
        await self.office.clock.advance(2500)
        self.assertEqual(gateway.agent.revision, 6)
        self.assertTrue(gateway.agent.config.callers["ana"].may_use_adapter("a5"))
        self.assertTrue(gateway.agent.is_config_confirmed())
