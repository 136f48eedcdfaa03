"""Changes of the document while requests are in progress, with a real leader and forwarder."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.relay_messages import Accepted, Announce
from ..coordination.retired_services import IN_FORCE_MS, RetiredServices
from ..coordination.unconfigured_upstreams import MAX_KEPT, MAX_NAMES, UnconfiguredUpstreams
from ..placement import AdapterName, EngineReport
from ..platform.document_json import DocumentJson
from ..routes import RouteTable
from .fakes.document_office import DocumentOffice
from .fakes.document_parts import (
    CHANGED,
    CHANGED_PLAIN,
    CHANGES,
    KEPT,
    KEPT_PLAIN,
    KEY,
    LATER,
    TIMEOUT_MS,
    Document,
    add_service,
    changed,
    drop_unused_services,
    first_document,
)

PATHS = (CHANGED, KEPT, CHANGED_PLAIN, KEPT_PLAIN)
UNUSED = "unused"
"""A service to which no document leads a route."""
ENDED_MS = 5_000
"""Time within which each request ends."""
TAKEN_IN_MS = 150
"""Time in which a leader and a gateway take a document in; shorter than a heartbeat."""
SERIES_MS = (30, 300)
"""Times between two documents: the second comes as the first is taken in, and after that."""
LATER_REFUSALS = {
    "routes are dropped": (404,),
    "routes are dropped and their services go": (404,),
    # Engines are known to take longer than that; others find out.
    "timeouts are shorter": (503, 504),
    "engines get fewer slots and less memory": (503,),
    "keys and quotas change": (429,),
}
"""Refusals of requests that a change concerns and that are sent with the document or after it."""
ASKS_QUOTA = ("waiting for a leader", "keys and quotas change")
"""Requests whose quota is asked for after the document, and is used up then."""


async def _read(office: DocumentOffice) -> None:
    _begin_all(office)
    await asyncio.sleep(0)


async def _waiting_for_leader(office: DocumentOffice) -> None:
    office.lose_leader()
    await office.steps(700)
    _begin_all(office)
    await office.steps(20)


async def _waiting_for_room(office: DocumentOffice) -> None:
    await office.fill(CHANGED)
    await office.fill(KEPT)
    _begin_all(office)
    await office.steps(30)


async def _sent(office: DocumentOffice) -> None:
    _begin_all(office)
    await office.steps(50)


async def _begun(office: DocumentOffice) -> None:
    _begin_all(office)
    while not all(office.replies[path].body for path in (CHANGED, KEPT)):
        await office.steps(10)


STATES: dict[str, Callable[[DocumentOffice], Awaitable[None]]] = {
    "read": _read,
    "waiting for a leader": _waiting_for_leader,
    "waiting for room": _waiting_for_room,
    "sent": _sent,
    "begun": _begun,
}


def _begin_all(office: DocumentOffice, name: str = "") -> None:
    for path in PATHS:
        office.begin(path, f"{path}{name}", KEY)


class _DocumentCase(unittest.IsolatedAsyncioTestCase):
    async def _office(self) -> DocumentOffice:
        office = DocumentOffice(first_document())
        await office.start()
        return office

    async def _each_case(
        self, play: Callable[[DocumentOffice, str], Awaitable[None]], states: tuple[str, ...]
    ) -> None:
        """Play each change for requests in each state."""
        for state in states:
            for change in CHANGES:
                with self.subTest(f"{state}: {change}"):
                    office = await self._office()
                    try:
                        await STATES[state](office)
                        await play(office, change)
                        await office.all_ended(ENDED_MS)
                        self._assert_ended_well(office, state, change)
                    finally:
                        await office.stop()

    def _assert_ended_well(self, office: DocumentOffice, state: str, change: str) -> None:
        """Check that each request has its answer; later ones one that the document allows."""
        for attempt, reply in office.replies.items():
            is_later = "later" in attempt and attempt.startswith(_concerned_by(change))
            refusals = LATER_REFUSALS.get(change, ()) if is_later else ()
            if (state, change) == ASKS_QUOTA:
                refusals = (429,)
            wanted = "refused" if reply.status in refusals else "whole"
            self.assertEqual(reply.ended, wanted, (attempt, reply.status, reply.reason))

    def _next(self, office: DocumentOffice, change: str) -> Document:
        return changed(office.document, CHANGES[change])


class OneDocumentTest(_DocumentCase):
    # Guards against a document that ends a request of a changed route, or of another one, which
    # came before it: by a route, service, organisation or limit that is looked up anew.
    async def test_each_change_leaves_requests_in_each_state(self) -> None:
        async def play(office: DocumentOffice, change: str) -> None:
            new = self._next(office, change)
            if not any(office.replies[path].body for path in PATHS) and not office.arrivals(
                KEPT_PLAIN
            ):
                office.put_in_force(new)
            await office.store(new)
            await office.steps(500)
            self.assertEqual(office.gateway.known.version, new["version"])
            _begin_all(office, " later")

        await self._each_case(play, tuple(STATES))

    # Guards against a stream that breaks off at its engine and can't go on elsewhere, since a
    # document has come meanwhile that its client knows nothing of.
    async def test_a_stream_that_breaks_off_after_a_change_goes_on(self) -> None:
        for change in CHANGES:
            with self.subTest(change):
                office = DocumentOffice(first_document(), copies=2)
                try:
                    await office.start()
                    await _begun(office)
                    await office.store(self._next(office, change))
                    await office.steps(100)
                    for upstream in office.upstreams.values():
                        upstream.breaks_off = upstream.running > 0
                    await office.steps(300)
                    for upstream in office.upstreams.values():
                        upstream.breaks_off = False
                    await office.all_ended(ENDED_MS)
                    for path in (CHANGED, KEPT):
                        self.assertEqual(office.replies[path].ended, "whole")
                        self.assertEqual(office.replies[path].body.count(b"id:"), 3)
                        # One send more than for the first adapter load and for the stream.
                        self.assertEqual(office.arrivals(path), 3)
                finally:
                    await office.stop()

    # Guards against a document of a later release that ends the stream to the leader, and with it
    # each request that waits for a place, as long as it is in force.
    async def test_a_document_that_can_not_be_read_leaves_the_former_one(self) -> None:
        office = await self._office()
        await _waiting_for_room(office)
        new = changed(office.document, _touch)
        new["routes"][0]["kind"] = "of a later release"
        office.put_in_force(new)
        self.assertTrue(office.gateway.fleet.connected)
        _begin_all(office, " later")
        await office.all_ended(ENDED_MS)
        self.assertEqual({one.ended for one in office.replies.values()}, {"whole"})
        self.assertEqual(office.gateway.known.version, office.document["version"])
        office.put_in_force(changed(office.document, _touch))
        self.assertGreater(office.gateway.known.version, office.document["version"])
        await office.stop()

    # Guards against a leader of an earlier release that ends with a document it can't read, which
    # another controller had checked.
    async def test_a_leader_that_can_not_read_a_document_goes_on(self) -> None:
        office = await self._office()
        await _waiting_for_room(office)
        new = changed(office.document, _touch)
        new["routes"][0]["kind"] = "of a later release"
        await office.store(new)
        await office.steps(500)
        _begin_all(office, " later")
        await office.all_ended(ENDED_MS)
        self.assertEqual({one.ended for one in office.replies.values()}, {"whole"})
        await office.store(changed(first_document() | {"version": new["version"]}, _touch))
        await office.steps(500)
        self.assertEqual(office.gateway.known.version, office.document["version"])
        await office.stop()


class LaterServiceTest(_DocumentCase):
    # Guards against requests on a new route that find no upstream until each has announced itself
    # once more, since announcements of services that no document names were forgotten.
    async def test_a_service_that_comes_has_its_upstreams_at_once(self) -> None:
        office = await self._office()
        office.add_upstream(LATER)
        await office.announced()
        await office.store(changed(office.document, add_service))
        await office.steps(TAKEN_IN_MS)
        reply = office.begin(LATER, "on the new route")
        await office.all_ended(ENDED_MS)
        self.assertEqual((reply.ended, reply.reason), ("whole", ""))
        await office.stop()

    # Guards against upstreams that are gone, and against memory for any number of them.
    def test_announcements_are_kept_until_the_next_is_due(self) -> None:
        clock = ManualClock()
        kept = UnconfiguredUpstreams(clock, 500)
        for at in range(MAX_KEPT + 5):
            kept.note(Announce(UpstreamRecord(f"i{at}", LATER, "1:1", "dc"), 1, None))
        self.assertEqual(len(kept), MAX_KEPT)
        self.assertEqual(kept.take(lambda service: False), [])
        clock._now_ms += 499
        kept.note(Announce(UpstreamRecord("new", LATER, "1:1", "dc"), 1, None))
        clock._now_ms += 1
        taken = kept.take(lambda service: service == LATER)
        self.assertEqual([msg.record.instance for msg in taken], ["new"])
        self.assertEqual(len(kept), 0)

    # Guards against a leader that ends by few announcements, each of which names thousands of
    # adapters.
    def test_announcements_that_name_very_much_are_few(self) -> None:
        kept = UnconfiguredUpstreams(ManualClock(), 500)
        holds = EngineReport({}, {AdapterName("m", f"a{at}"): 1 for at in range(4_000)}, {}, 0)
        for at in range(100):
            kept.note(Announce(UpstreamRecord(f"i{at}", LATER, "1:1", "dc"), 1, holds))
        self.assertEqual(len(kept), MAX_NAMES // 4_000)
        self.assertEqual(len(kept.take(lambda service: True)), MAX_NAMES // 4_000)
        kept.note(Announce(UpstreamRecord("next", LATER, "1:1", "dc"), 1, holds))
        self.assertEqual(len(kept), 1)


class SeriesTest(_DocumentCase):
    # Guards against a document that comes as the one before is taken in: gateways get the second
    # one late, while the leader has already dropped the upstreams that it no longer names.
    async def test_a_change_soon_after_another(self) -> None:
        for apart_ms in SERIES_MS:

            async def play(office: DocumentOffice, change: str, apart_ms: int = apart_ms) -> None:
                await self._store_apart(office, changed(office.document, _touch), apart_ms)
                await self._store_apart(office, self._next(office, change), 300)

            await self._each_case(play, ("waiting for room", "begun"))

    # Guards against gateways that have the former document for a while, as the next one follows
    # soon after it: what they send meanwhile finds no upstream.
    async def test_requests_between_a_change_and_the_document(self) -> None:
        async def play(office: DocumentOffice, change: str) -> None:
            await office.store(changed(office.document, _touch))
            stored = office.begin_store(self._next(office, change))
            for at in range(4):
                _begin_all(office, f" later {at}")
                await office.steps(50)
            self.assertEqual(stored.result(), Accepted())

        await self._each_case(play, ("begun",))

    # Guards against a service that goes at once, since the document before already led no route to
    # it, while requests of the one before that wait or run there.
    async def test_a_service_goes_soon_after_its_routes(self) -> None:
        for change in ("routes move to another service", "the weight of the old service is 0"):
            for apart_ms in SERIES_MS:
                for state in ("read", "waiting for room", "sent", "begun"):
                    with self.subTest(f"{state}: {change}, {apart_ms} ms"):
                        await self._play_services_go(state, change, apart_ms)

    async def _play_services_go(self, state: str, change: str, apart_ms: int) -> None:
        office = await self._office()
        try:
            await STATES[state](office)
            await self._store_apart(office, self._next(office, change), apart_ms)
            await self._store_apart(office, changed(office.document, drop_unused_services), 500)
            await office.all_ended(ENDED_MS)
            self._assert_ended_well(office, state, change)
        finally:
            await office.stop()

    # Guards against what is dropped by one document and comes back with the next.
    async def test_a_change_that_is_taken_back(self) -> None:
        for apart_ms in SERIES_MS:

            async def play(office: DocumentOffice, change: str, apart_ms: int = apart_ms) -> None:
                first = office.document
                await self._store_apart(office, self._next(office, change), apart_ms)
                version = {"version": office.document["version"] + 3}
                await self._store_apart(office, first | version, 300)

            await self._each_case(play, ("waiting for room", "begun"))

    async def _store_apart(self, office: DocumentOffice, new: Document, apart_ms: int) -> None:
        """Store a document, send requests, and let time pass until the next one."""
        stored = office.begin_store(new)
        _begin_all(office, f" later {new['version']}")
        await office.steps(apart_ms)
        while not stored.done():
            await office.steps(10)
        self.assertEqual(stored.result(), Accepted())

    # Guards against the older of two documents that come together and is in force at the end.
    async def test_two_versions_at_once(self) -> None:
        for is_older_first in (True, False):

            async def play(
                office: DocumentOffice, change: str, is_older_first: bool = is_older_first
            ) -> None:
                older = changed(office.document, _touch)
                newer = changed(older, CHANGES[change])
                both = (older, newer) if is_older_first else (newer, older)
                stored = [office.begin_store(one) for one in both]
                await office.steps(500)
                self.assertEqual([one.result() for one in stored], [Accepted(), Accepted()])
                self.assertEqual(office.gateway.known.version, newer["version"])

            await self._each_case(play, ("waiting for room", "begun"))


class LeaderTest(_DocumentCase):
    # Guards against a document that is half taken in as its leader is cut off.
    async def test_a_change_as_the_leader_changes(self) -> None:
        async def play(office: DocumentOffice, change: str) -> None:
            new = self._next(office, change)
            office.begin_store(new)
            await office.steps(20)
            office.lose_leader()
            await office.steps(1_000)
            await office.store(new)
            await office.steps(500)
            self.assertEqual(office.gateway.known.version, new["version"])

        await self._each_case(play, ("sent", "begun"))


class RetiredServicesTest(_DocumentCase):
    # Guards against upstreams of a service that went which gateways know for ever.
    async def test_a_service_that_went_ends_with_its_last_requests(self) -> None:
        office = await self._office()
        change = CHANGES["routes move and their services go"]
        await office.store(changed(office.document, change))
        await office.steps(1_000)
        upstreams = office.gateway.known.upstreams
        self.assertEqual([len(upstreams(path)) for path in PATHS], [1, 1, 1, 1])
        await office.steps(IN_FORCE_MS + TIMEOUT_MS)
        self.assertEqual([len(upstreams(path)) for path in PATHS], [0, 1, 0, 1])
        await office.stop()

    # Guards against services that are kept although no request could be on its way to them, and
    # against what is kept for ever.
    def test_what_is_kept_and_for_how_long(self) -> None:
        clock = ManualClock()
        retired = RetiredServices(clock)
        table = _table(first_document())
        for change, is_kept in (
            ("routes move and their services go", True),
            ("limits shrink", False),
        ):
            new = _table(changed(first_document(), CHANGES[change]))
            retired.note_change(table, new)
            self.assertEqual(retired.get(CHANGED) is not None, is_kept)
            self.assertIsNone(retired.get(KEPT))
        self._assert_kept_from_the_last_route(clock)
        for at in range(50):
            doc = first_document()
            doc["services"].append(doc["services"][0] | {"name": f"s{at}"})
            doc["routes"].append(doc["routes"][0] | {"service": f"s{at}", "path_prefix": "/s/"})
            retired.note_change(_table(doc), table)
            clock._now_ms += 1_000
        most = (IN_FORCE_MS + TIMEOUT_MS) // 1_000 + 1
        self.assertLessEqual(len(retired), most)
        self.assertLessEqual(len(retired._until_ms), most + len(table.services))

    def _assert_kept_from_the_last_route(self, clock: ManualClock) -> None:
        """Check a service that goes 300 ms after its routes, and one that never had a route."""
        retired = RetiredServices(clock)
        first = changed(first_document(), add_service)
        first["services"].append({"name": UNUSED})
        unused = changed(first, CHANGES["routes move to another service"])
        dropped = changed(unused, drop_unused_services)
        dropped["services"] = [one for one in dropped["services"] if one["name"] != UNUSED]
        retired.note_change(_table(first), _table(unused))
        self.assertIsNone(retired.get(CHANGED))
        clock._now_ms += 300
        retired.note_change(_table(unused), _table(dropped))
        self.assertIsNone(retired.get(UNUSED))
        clock._now_ms += IN_FORCE_MS + TIMEOUT_MS - 301
        self.assertIsNotNone(retired.get(CHANGED))
        clock._now_ms += 1
        self.assertIsNone(retired.get(CHANGED))
        # Nothing can come to it after that, so a document that drops it once more keeps nothing.
        retired.note_change(_table(unused), _table(dropped))
        self.assertIsNone(retired.get(CHANGED))


def _table(doc: Document) -> RouteTable:
    return RouteTable(DocumentJson().decode(json.dumps(doc).encode()))


def _concerned_by(change: str) -> tuple[str, ...]:
    """Return the paths whose later requests a change may refuse."""
    return PATHS if change == "keys and quotas change" else (CHANGED, CHANGED_PLAIN)


def _touch(doc: dict[str, Any]) -> None:
    """Change what concerns no request."""
    doc["limits"]["max_body_bytes"] += 1
