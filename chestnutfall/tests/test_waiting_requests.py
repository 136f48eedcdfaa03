"""Waiting requests by ticket and engine."""

from __future__ import annotations

import unittest

from ..placement import AdapterName, PlaceRequest
from ..placement.waiting_request import WaitingRequest
from ..placement.waiting_requests import WaitingRequests


def waiting(ticket: str) -> WaitingRequest:
    req = PlaceRequest(
        ticket, "s", AdapterName("", ""), 10, 10, (), 1, 500, 4_000, "dc", (), 300, ""
    )
    return WaitingRequest(req, 0)


class WaitingRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = WaitingRequests()
        self.a, self.b = waiting("a"), waiting("b")
        self.requests.add(self.a)
        self.requests.add(self.b)

    # Guards against a request that its former engine still decides on.
    def test_a_request_is_found_at_its_present_engine_only(self) -> None:
        self.requests.assign(self.a, "1")
        self.requests.assign(self.b, "1")
        self.requests.assign(self.a, "2")
        self.assertEqual(self.requests.at("1"), (self.b,))
        self.assertEqual(self.requests.at("2"), (self.a,))
        self.requests.assign(self.a, "")
        self.assertEqual(self.requests.at("2"), ())
        self.assertEqual(self.requests.at(""), ())

    # Guards against memory that grows with each request that was ever assigned.
    def test_a_removed_request_is_found_nowhere_and_keeps_its_engine(self) -> None:
        self.requests.assign(self.a, "1")
        self.requests.remove(self.a)
        self.assertEqual(self.a.instance, "1")
        self.assertEqual(self.requests.at("1"), ())
        self.assertNotIn("a", self.requests)
        self.assertEqual([one.req.ticket for one in self.requests], ["b"])
        self.assertEqual(self.requests._by_instance, {})

    def test_order_of_arrival_is_kept(self) -> None:
        self.requests.assign(self.b, "1")
        self.assertEqual([one.req.ticket for one in self.requests], ["a", "b"])
        self.assertEqual(len(self.requests), 2)
