"""API keys, organisations and quotas.

Guards against two abuses: a revoked key still works on kept connections, and a caller names another
organisation in a header of its own to have its calls charged there. The first is refused with 401
before an upstream is selected; for the second, upstreams get the name that belongs to the key. Keys
never leave the gateway.
"""

from __future__ import annotations

import asyncio
import io
import json
import logging
import random
import unittest
from dataclasses import replace
from typing import Any

from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.admission import Admission
from ..forwarding.call import Call
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.forwarder import Forwarder
from ..forwarding.repeats import Repeats
from ..forwarding.sender import Sender
from ..forwarding.upstream_answer import NotRun
from ..observability.prometheus_metrics import PrometheusMetrics
from ..platform.call_reader import read_call
from ..platform.document_json import DocumentJson
from ..platform.upstream_http import _headers
from ..quarantine import RequestQuarantine
from ..quota.messages import AnswerQuota, QuotaNews
from ..quota.quota_enforcer import QuotaEnforcer
from ..requests import key_digest
from ..routes import RouteTable, UnreadableDocument, check_document
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ..settings.repeat_bounds import RepeatBounds
from .fakes.accounts import usual_memory
from .fakes.fake_upstreams import (
    FixedRoutes,
    ListedSelector,
    NotSent,
    RecordedReply,
    ScriptedQuotaClient,
    ScriptedUpstreams,
)
from .fakes.limit_parts import known_signals
from .fakes.long_ago import LONG_AGO_MS
from .fakes.stream_origins import origins_of_one_build

PERMITS = {"name": "permits", "api_keys": ["key-of-permits"], "priority": 0}
BOOKINGS: dict[str, Any] = {"name": "bookings", "api_keys": ["key-of-bookings", "second-key"]}
LIMITED = PERMITS | {"unit": "tokens", "rate_per_s": 1_000, "burst": 500, "plain_tokens": 200}


def _document(*tenants: dict[str, Any], public: bool = False) -> bytes:
    route = {"name": "r", "host": "a.example", "path_prefix": "/a/", "kind": "safe"}
    route |= {"timeout_ms": 1000, "service": "forms", "priority": 3, "public": public}
    document = {"version": 3, "routes": [route], "services": [{"name": "forms"}]}
    return json.dumps(document | {"tenants": tenants}).encode()


class DocumentTest(unittest.TestCase):
    def _findings(self, *tenants: dict[str, Any]) -> list[str]:
        return [str(one) for one in check_document(DocumentJson().decode(_document(*tenants)))]

    def test_valid_organisations_have_no_findings(self) -> None:
        self.assertEqual(self._findings(PERMITS, BOOKINGS), [])
        self.assertEqual(self._findings(LIMITED), [])
        self.assertEqual(self._findings(PERMITS | {"api_keys": ["a", "a"]}), [])

    def test_every_broken_rule_is_found_with_its_place_and_without_the_key(self) -> None:
        broken = {
            "one holder": (PERMITS, BOOKINGS | {"api_keys": ["other", "key-of-permits"]}),
            "unique": (PERMITS, BOOKINGS | {"name": "permits"}),
            "the rate must": (PERMITS, BOOKINGS | {"rate_per_s": -1}),
            "the burst must": (PERMITS, BOOKINGS | {"burst": -0.5}),
            "the plain tokens must": (PERMITS, BOOKINGS | {"plain_tokens": -1}),
            "printable ASCII": (PERMITS, BOOKINGS | {"name": "a\r\nX-Other: 1"}),
        }
        for words, tenants in broken.items():
            with self.subTest(words):
                found = self._findings(*tenants)
                self.assertEqual(len(found), 1)
                self.assertIn(words, found[0])
                self.assertIn("/organisations/1", found[0])
                self.assertNotIn("key-of", found[0])

    def test_all_findings_come_at_once(self) -> None:
        wrong = {"api_keys": ["key-of-permits"], "rate_per_s": -1, "burst": -1}
        self.assertEqual(len(self._findings(PERMITS, BOOKINGS | wrong)), 3)

    def test_an_unknown_unit_is_unreadable(self) -> None:
        with self.assertRaises(UnreadableDocument):
            DocumentJson().decode(_document(PERMITS | {"unit": "bytes"}))

    def test_no_object_that_is_made_of_a_document_shows_a_key(self) -> None:
        self.assertNotIn("key-of", repr(DocumentJson().decode(_document(PERMITS, BOOKINGS))))

    def test_ten_thousand_organisations_are_checked_and_looked_up(self) -> None:
        names = [f"office{at}" for at in range(10_000)]
        keys = {name: [f"{name}-{key}" for key in range(3)] for name in names}
        tenants = [{"name": name, "api_keys": keys[name], "rate_per_s": 5} for name in names]
        document = DocumentJson().decode(_document(*tenants))
        self.assertEqual(list(check_document(document)), [])
        table = RouteTable(document)
        holder = table.organisation_by_key(key_digest("office9999-2"))
        assert holder is not None
        self.assertEqual(holder.name, "office9999")


class KeyHeaderTest(unittest.TestCase):
    @staticmethod
    def _read(*keys: str) -> Call:
        headers = CIMultiDict([("Host", "a.example"), ("X-Tenant", "claimed")])
        for key in keys:
            headers.add("X-Api-Key", key)
        return read_call(make_mocked_request("GET", "/a/x", headers=headers), b"", 0)

    def test_the_key_and_the_claimed_name_are_not_forwarded(self) -> None:
        call = self._read("key-of-permits")
        self.assertEqual(call.key_digest, key_digest("key-of-permits"))
        self.assertEqual([name for name, _ in call.headers], ["Host"])
        self.assertNotIn("key-of-permits", repr(call))

    def test_no_key_and_an_empty_key_are_told_apart(self) -> None:
        self.assertIsNone(self._read().key_digest)
        self.assertEqual(self._read("").key_digest, key_digest(""))

    def test_two_keys_and_overlong_ones_are_errors_that_do_not_name_them(self) -> None:
        for keys in (("secret-a", "secret-b"), ("secret-" * 1_000,)):
            with self.subTest(len(keys)), self.assertRaises(ValueError) as caught:
                self._read(*keys)
            self.assertNotIn("secret", str(caught.exception))

    def test_upstreams_get_the_organisation_and_not_the_key(self) -> None:
        upstream = UpstreamRecord("i1", "forms", "127.0.0.1:1", "dc")
        call = self._read("key-of-permits")
        sent = _headers(ForwardedCall(call, upstream, 0, 1, 500, None, False, 500, "permits"))
        self.assertEqual(sent.getall("X-Tenant"), ["permits"])
        self.assertNotIn("X-Api-Key", sent)
        alone = _headers(ForwardedCall(call, upstream, 0, 1, 500, None, False, 500))
        self.assertNotIn("X-Tenant", alone)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.reply = RecordedReply()
        self.within_ms = 100
        self.quota_client = ScriptedQuotaClient()
        self.quotas = QuotaEnforcer(
            self.quota_client, lambda: 1, STRICT_QUOTA_BOUNDS, self.clock, random.Random(1)
        )
        self.metrics = PrometheusMetrics()
        self.written = io.StringIO()
        handler = logging.StreamHandler(self.written)
        logger = logging.getLogger("chestnutfall")
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(logger.setLevel, logging.NOTSET)
        self.addCleanup(setattr, logger, "propagate", True)

    async def _serve(self, content: bytes, key: str | None, *script: Any) -> ScriptedUpstreams:
        table = RouteTable(DocumentJson().decode(content))
        self.upstreams = ScriptedUpstreams(*script or ((b"whole",),))
        self.selector = ListedSelector("i0", "i1")
        bounds = RepeatBounds(0.2, 100, 10_000)
        rng = random.Random(1)
        signals = known_signals(self.clock)
        origins = origins_of_one_build(self.clock)
        forwarder = Forwarder(
            FixedRoutes(table, self.clock),
            Admission(self.quotas),
            Repeats(bounds, lambda: 1, self._borrow, self.clock, rng, LONG_AGO_MS),
            self.selector,
            self.selector,
            Sender(self.upstreams, signals, origins, self.clock, self.metrics, usual_memory()),
            signals,
            origins,
            RequestQuarantine(lambda report: None, self._refuses, self.clock),
            self.clock,
            self.metrics,
            rng,
        )
        call = Call("id-1", "GET", "/a/x", "/a/x", "a.example", (), b"", 0, 4000)
        if key is not None:
            call = replace(call, key_digest=key_digest(key))
        served = asyncio.ensure_future(forwarder.serve(call, self.reply))
        await self.clock.advance(self.within_ms)
        self.assertTrue(served.done(), f"no answer within {self.within_ms} ms")
        await served
        return self.upstreams

    async def _borrow(self, service: str) -> bool:
        return False

    async def _refuses(self, address: str) -> bool:
        return False

    async def test_a_key_names_its_organisation_to_the_upstream(self) -> None:
        await self._serve(_document(PERMITS, BOOKINGS), "second-key")
        self.assertEqual(self.upstreams.sends[0].organisation, "bookings")
        self.assertIn("organisation=bookings", self.written.getvalue())

    async def test_without_a_known_key_nothing_is_placed(self) -> None:
        for key in (None, "", "taken-away"):
            with self.subTest(key):
                self.reply = RecordedReply()
                await self._serve(_document(PERMITS), key)
                self.assertEqual((self.reply.status, self.selector.criteria), (401, []))
        self.assertNotIn("taken-away", self.written.getvalue() + self.metrics.text())

    # Guards against calls without any answer: a leader that loses its gateways does not answer
    # questions about quotas.
    async def test_a_leader_that_gives_no_answer_delays_no_call_beyond_its_deadline(self) -> None:
        self.quota_client.silent = True
        self.quotas.apply(QuotaNews(True, ("permits",)))
        self.within_ms = 4_000
        await self._serve(_document(LIMITED), "key-of-permits")
        self.assertIn(self.reply.status, (200, 503))

    async def test_public_routes_and_documents_without_organisations_need_no_key(self) -> None:
        for content in (_document(PERMITS, public=True), _document()):
            for key in (None, "unknown"):
                self.reply = RecordedReply()
                await self._serve(content, key)
                self.assertEqual(self.reply.status, 200)
                self.assertEqual(self.upstreams.sends[0].organisation, "")

    async def test_the_organisations_priority_goes_before_the_routes(self) -> None:
        await self._serve(_document(PERMITS, BOOKINGS), "key-of-permits")
        self.assertEqual(self.upstreams.sends[0].rank, 0)
        self.assertEqual(self.selector.criteria[0].route.rank, 0)
        self.reply = RecordedReply()
        await self._serve(_document(PERMITS, BOOKINGS), "key-of-bookings")
        self.assertEqual(self.upstreams.sends[0].rank, 3)

    async def test_a_call_over_the_quota_is_refused_with_a_retry_time(self) -> None:
        self.quotas.apply(QuotaNews(True, ("permits",)))
        self.quota_client.answer = AnswerQuota(0, False, 730)
        await self._serve(_document(LIMITED), "key-of-permits")
        self.assertEqual((self.reply.status, self.reply.retry_after_ms), (429, 730))
        self.assertEqual(self.selector.criteria, [])
        self.assertIn("organisation=permits version=3", self.written.getvalue())
        self.assertIn("organisation_permits_over_quota_total 1", self.metrics.text())

    async def test_without_a_leader_and_a_share_a_call_is_not_refused_as_over_quota(self) -> None:
        self.quota_client.has_leader = False
        await self._serve(_document(LIMITED), "key-of-permits")
        self.assertEqual(self.reply.status, 503)

    async def _reported_units(self) -> float:
        self.quotas.report_use()
        return sum(use.units for used in self.quota_client.reported for use in used.uses)

    async def test_a_call_is_charged_once_however_often_it_is_sent(self) -> None:
        await self._serve(_document(LIMITED), "key-of-permits", NotRun.REPLACED, (b"whole",))
        self.assertEqual(len(self.upstreams.sends), 2)
        self.assertEqual(await self._reported_units(), 200)

    async def test_what_never_ran_is_given_back(self) -> None:
        await self._serve(_document(LIMITED), "key-of-permits", NotSent, NotSent)
        self.assertEqual(self.reply.status, 503)
        self.assertEqual(await self._reported_units(), 0)

    async def test_what_may_have_run_stays_charged(self) -> None:
        await self._serve(_document(LIMITED), "key-of-permits", 500)
        self.assertEqual(await self._reported_units(), 200)
