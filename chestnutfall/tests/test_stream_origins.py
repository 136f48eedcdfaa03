"""Streams of services whose upstreams run several builds, through gateways and a leader."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from ..coordination.messages import PlaceRequest
from ..coordination.upstream_views import REBASE_CHANGES
from ..placement import AdapterName
from ..requests import fingerprint_of
from ..resumption import (
    BUILD_GONE,
    STREAM_MOVED,
    UNKNOWN_STREAM,
    StreamOrigin,
    stream_owner,
)
from ..resumption.messages import HeardOrigin, HeardOrigins
from .fakes.signal_office import EVENTS, HOST, STREAMS
from .fakes.signalling_upstream import ENGINES, PLAIN, SignallingUpstream
from .fakes.stream_office import SPLIT, StreamAttempt, StreamOffice

ROUNDS = 12
HALVES = ("v1", "v2") * 3
MANY = ("v1", "v2") * (REBASE_CHANGES // 2 + 1)
ONE_OTHER = ("v1", "v2", "v2", "v2", "v1")
"""One other engine of the build of the first one, and more of another build."""


class _StreamCase(unittest.IsolatedAsyncioTestCase):
    async def _office(self, *args: object, **kwargs: object) -> StreamOffice:
        office = StreamOffice(*args, **kwargs)  # type: ignore[arg-type]
        self.addAsyncCleanup(office.stop)
        await office.steps(50)
        return office

    def _assert_refused(self, sent: StreamAttempt, reason: str) -> None:
        """Check that an attempt was refused at once, and that nothing ran."""
        self.assertEqual((sent.reply.status, sent.reply.reason), (503, reason))
        self.assertIsNotNone(sent.reply.retry_after_ms)
        self.assertLess(sent.reply.retry_after_ms or 0, 500)


class ResumedElsewhereTest(_StreamCase):
    # Guards against a stream that goes on at another build, at its gateway or at another.
    async def test_a_stream_goes_on_at_its_build_at_any_gateway(self) -> None:
        office = await self._office(3, HALVES)
        begun = await office.begun_on_each("g0", "first")
        self.assertEqual(set(begun.values()), {"v1", "v2"})
        for at, (attempt, build) in enumerate(begun.items()):
            sent = await office.resume(f"g{at % 3}", attempt, f"second-{at}")
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})

    # Guards against a stream that goes on at another build within one answer.
    async def test_an_answer_that_breaks_off_goes_on_at_its_build(self) -> None:
        office = await self._office(2, ONE_OTHER)
        office.engine(0).breaks_off = True
        sent = [office.begin(f"g{at % 2}", f"a{at}", body=b"%d" % at) for at in range(40)]
        await office.steps(1_000)
        whole = [one for one in sent if one.numbers == list(range(1, EVENTS + 1))]
        self.assertEqual([one.builds for one in sent if len(one.builds) != 1], [])
        self.assertGreater(office.engine(4).resumed, 0)
        self.assertEqual(len(whole), len(sent))

    # Guards against a client that is refused since what it sends to take its stream up differs from
    # what began it, as where its body holds the number of the attempt or the text so far.
    async def test_a_stream_goes_on_with_another_body(self) -> None:
        office = await self._office(2, HALVES)
        for caller in ("", "hot"):
            for gateway in ("g0", "g1"):
                attempt = f"first {caller} {gateway}"
                build = await office.begun_at("g0", attempt, organisation=caller)
                sent = await office.resume(
                    gateway, attempt, f"second {attempt}", body=b"another", organisation=caller
                )
                self.assertTrue(office.goes_on(sent), sent.reply)
                self.assertEqual(sent.builds, {build})

    # Guards against clients of a gateway that runs earlier software and ends, whose streams count
    # as unknown at its successor: it told the leader the digest of the whole request.
    async def test_a_stream_that_earlier_software_began_goes_on(self) -> None:
        office = await self._office(2, HALVES)
        assert office.leader is not None
        owner = fingerprint_of(HOST, f"POST /{ENGINES}/x", b"one")
        for build in ("v1", "v2"):
            heard = HeardOrigin(f"first {build}", owner, StreamOrigin(ENGINES, build), 1_000)
            office.leader.handle("g0", HeardOrigins((heard,)))
            sent = await office.resume("g1", f"first {build}", f"second {build}")
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})

    # Guards against a version that only the gateway knew that ends right after the first event.
    async def test_a_stream_of_a_gateway_that_ended_goes_on_at_its_build(self) -> None:
        office = await self._office(2, HALVES)
        for at in range(ROUNDS):
            sent = office.begin("g0", f"first-{at}")
            while not sent.numbers:
                await office.step()
            (build,) = sent.builds
            sent.task.cancel()
            office.restart("g0")
            again = await office.resume("g1", f"first-{at}", f"second-{at}")
            self.assertTrue(office.goes_on(again), again.reply)
            self.assertEqual(again.builds, {build})

    # Guards against a client that is refused since it names the first of its attempts.
    async def test_a_stream_that_is_taken_up_twice_names_its_first_attempt(self) -> None:
        office = await self._office(3, HALVES)
        build = await office.begun_at("g0", "first")
        second = office.begin("g1", "second", "first", 1)
        while 2 not in second.numbers:
            await office.step()
        second.task.cancel()
        await office.step()
        third = office.begin("g2", "third", "first", 2)
        await office.steps(400)
        self.assertEqual((third.numbers, third.builds), ([3], {build}))

    # Guards against a second build of three that is taken for the one that began a stream.
    async def test_three_builds_are_told_apart(self) -> None:
        office = await self._office(2, ("v1", "v2", "v3") * 2)
        begun = await office.begun_on_each("g0", "first")
        self.assertEqual(set(begun.values()), {"v1", "v2", "v3"})
        for attempt, build in begun.items():
            sent = await office.resume("g1", attempt, f"again {attempt}")
            self.assertEqual(sent.builds, {build})

    # Guards against engines that name no version and are taken for the same, or for any.
    async def test_a_stream_of_an_engine_that_names_no_version_goes_on_there_only(self) -> None:
        office = await self._office(2, ("", "", "v1"))
        begun = await office.begun_on_each("g0", "first")
        for attempt, build in begun.items():
            sent = await office.resume("g1", attempt, f"again {attempt}")
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})
        self.assertEqual([office.engine(at).resumed for at in range(3)], [1, 1, 1])


class UnknownStreamTest(_StreamCase):
    # Guards against a stream that nobody knows and that goes on anywhere.
    async def test_an_unknown_stream_is_refused_at_once(self) -> None:
        office = await self._office(2, HALVES)
        began_ms = office.clock.now_ms()
        sent = office.begin("g0", "second", "never seen", 1)
        while not sent.reply.ended:
            await office.step()
        self._assert_refused(sent, UNKNOWN_STREAM)
        self.assertLessEqual(office.clock.now_ms() - began_ms, 50)
        self.assertEqual(office.runs, 0)

    # Guards against a client that resumes without a name, or with one that can't be read.
    async def test_a_stream_without_a_name_is_refused(self) -> None:
        office = await self._office(2, HALVES)
        sent = await office.resume("g0", "")
        self._assert_refused(sent, UNKNOWN_STREAM)
        self.assertEqual(office.runs, 0)

    # Guards against a caller that learns of another caller's stream, or goes on with it, at the
    # gateway that began it or at another, with the same request.
    async def test_a_stream_of_another_caller_is_unknown(self) -> None:
        office = await self._office(2, HALVES)
        for at, (begins, resumes) in enumerate((("hot", "usual"), ("hot", ""), ("", "usual"))):
            await office.begun_at("g0", f"first-{at}", organisation=begins)
            for gateway in ("g0", "g1"):
                runs = office.runs
                second = f"{gateway}-{at}"
                sent = await office.resume(gateway, f"first-{at}", second, organisation=resumes)
                self._assert_refused(sent, UNKNOWN_STREAM)
                self.assertEqual(office.runs, runs)

    # Guards against a caller whose stream counts as unknown since another caller gave an attempt
    # the same id.
    async def test_attempts_of_two_callers_with_one_id_are_two_streams(self) -> None:
        office = await self._office(2, HALVES)
        assert office.leader is not None
        builds = {"hot": "v1", "usual": "v2"}
        heard = tuple(
            HeardOrigin("first", stream_owner(caller, HOST), StreamOrigin(ENGINES, build), 1_000)
            for caller, build in builds.items()
        )
        office.leader.handle("g0", HeardOrigins(heard))
        for caller, build in builds.items():
            sent = await office.resume("g1", "first", f"second-{caller}", organisation=caller)
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})

    # Guards against an attempt that brought nothing and is taken for one that did.
    async def test_an_attempt_that_was_never_placed_is_unknown(self) -> None:
        office = await self._office(2, HALVES)
        for engine in office.upstreams.values():
            engine.backoff = "3"
        sent = office.begin("g0", "first")
        await office.steps(200)
        self.assertEqual(sent.numbers, [])
        for engine in office.upstreams.values():
            engine.backoff = None
        await office.steps(4_000)
        runs = office.runs
        again = await office.resume("g1", "first")
        self.assertNotEqual(again.reply.status, 200)
        self.assertEqual(office.runs, runs)

    # Guards against what one gateway alone knew and that is gone with it and the leader.
    async def test_a_stream_whose_gateway_and_leader_ended_is_refused(self) -> None:
        office = await self._office(3, HALVES)
        await office.begun_at("g0", "first")
        office.restart("g0")
        office.begin_leader()
        runs = office.runs
        sent = await office.resume("g1", "first")
        self._assert_refused(sent, UNKNOWN_STREAM)
        self.assertEqual(office.runs, runs)

    # Guards against streams whose clients gave up long ago and that fill the memory.
    async def test_a_stream_is_forgotten_when_its_client_has_given_up(self) -> None:
        office = await self._office(2, HALVES)
        await office.begun_at("g0", "first")
        await office.steps(2_000)
        await office.begun_at("g0", "other")
        assert office.leader is not None
        self.assertEqual((len(office.leader.origins), len(office.gateways["g0"].origins)), (1, 1))


class LeaderTest(_StreamCase):
    # Guards against a new leader that does not know what its gateways have begun.
    async def test_a_stream_goes_on_after_a_change_of_leader(self) -> None:
        await self._check_that_streams_go_on(HALVES)

    # Guards against the same where a new leader sends its upstreams as one list: gateways see no
    # service get a second build then, which would let them tell what they know.
    async def test_a_stream_goes_on_after_a_change_of_leader_with_many_upstreams(self) -> None:
        await self._check_that_streams_go_on(MANY)

    async def _check_that_streams_go_on(self, builds: tuple[str, ...]) -> None:
        office = await self._office(3, builds)
        begun = await office.begun_on_each("g0", "first")
        office.begin_leader()
        sent = {one: office.begin("g1", f"again {one}", one, 1) for one in begun}
        await office.steps(400)
        for attempt, build in begun.items():
            self.assertTrue(office.goes_on(sent[attempt]), attempt)
            self.assertEqual(sent[attempt].builds, {build})

    # Guards against a question that comes before the gateway that knows has told the new leader.
    async def test_a_new_leader_waits_for_gateways_that_have_not_told(self) -> None:
        office = await self._office(3, HALVES)
        build = await office.begun_at("g0", "first")
        office.gateways["g0"].frozen = True
        office.begin_leader()
        sent = office.begin("g1", "second", "first", 1)
        await office.steps(200)
        self.assertEqual(sent.reply.ended, "")
        office.gateways["g0"].frozen = False
        await office.steps(400)
        self.assertTrue(office.goes_on(sent), sent.reply)
        self.assertEqual(sent.builds, {build})

    # Guards against a question that waits for a gateway which stays frozen.
    async def test_a_new_leader_does_not_wait_for_a_frozen_gateway_for_long(self) -> None:
        office = await self._office(3, HALVES)
        await office.begun_at("g0", "first")
        office.gateways["g0"].frozen = True
        office.begin_leader()
        sent = office.begin("g1", "second", "first", 1)
        await office.steps(600)
        self._assert_refused(sent, UNKNOWN_STREAM)

    # Guards against a gateway without a leader that goes on with a stream it does not know.
    async def test_without_a_leader_only_a_known_stream_goes_on(self) -> None:
        office = await self._office(2, HALVES)
        build = await office.begun_at("g0", "first")
        office.lose_leader()
        own = office.begin("g0", "second", "first", 1)
        other = office.begin("g1", "third", "first", 1)
        runs = office.runs
        await office.steps(200)
        self.assertEqual((office.runs, own.reply.ended, other.reply.ended), (runs, "", ""))
        office.begin_leader()
        await office.steps(400)
        for sent in (own, other):
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})

    # Guards against an answer that breaks off without a leader and goes on at another build.
    async def test_without_a_leader_an_answer_goes_on_at_its_build(self) -> None:
        office = await self._office(1, ONE_OTHER)
        office.lose_leader()
        office.engine(0).breaks_off = True
        sent = [office.begin("g0", f"a{at}", body=b"%d" % at) for at in range(20)]
        await office.steps(900)
        self.assertEqual([one.builds for one in sent if len(one.builds) > 1], [])
        self.assertGreater(office.engine(4).resumed, 0)
        self.assertNotIn("sends_held_back", office.metrics.text())

    # Guards against streams that are begun without a leader and that the next one does not know.
    async def test_a_stream_that_began_without_a_leader_goes_on_at_its_build(self) -> None:
        office = await self._office(2, HALVES)
        await office.steps(2_500)
        office.lose_leader()
        sent = office.begin("g0", "first")
        while not sent.numbers:
            await office.step()
        (build,) = sent.builds
        sent.task.cancel()
        office.begin_leader()
        again = await office.resume("g1", "first")
        self.assertTrue(office.goes_on(again), again.reply)
        self.assertEqual(again.builds, {build})

    # Guards against a gateway that was cut off while engines started again under their old ids,
    # and that names the build of before.
    async def test_a_stream_that_began_long_without_a_leader_is_not_known(self) -> None:
        office = await self._office(2, HALVES)
        await office.steps(2_500)
        office.lose_leader()
        await office.steps(1_200)
        sent = office.begin("g0", "first")
        while not sent.numbers:
            await office.step()
        sent.task.cancel()
        office.begin_leader()
        again = await office.resume("g1", "first")
        self._assert_refused(again, UNKNOWN_STREAM)


class SecondBuildTest(_StreamCase):
    # Guards against a stream that began before the second build came and goes on at it.
    async def test_a_stream_of_before_the_second_build_goes_on_at_the_first(self) -> None:
        office = await self._office(2, ("v1",) * 4)
        sent = office.begin("g0", "first")
        while not sent.numbers:
            await office.step()
        for at in range(3):
            _restart_as(office, office.engine(at), "v2")
        office.see()
        sent.task.cancel()
        again = await office.resume("g1", "first")
        self.assertTrue(office.goes_on(again), again.reply)
        self.assertEqual((sent.builds, again.builds), ({"v1"}, {"v1"}))

    # Guards against a stream that is taken up while the service has one build, and is sent once it
    # has two.
    async def test_a_second_build_that_comes_while_a_stream_waits_is_not_taken(self) -> None:
        office = await self._office(2, ("v1", "v1"))
        office.leader.placer.engines.clear()  # type: ignore[union-attr]
        sent = office.begin("g1", "second", "unknown", 1)
        await office.steps(50)
        _restart_as(office, office.engine(0), "v2")
        office.see()
        await office.steps(500)
        self._assert_refused(sent, UNKNOWN_STREAM)
        self.assertEqual(office.runs, 0)

    # Guards against messages and memory for services with one build.
    async def test_one_build_costs_no_message_and_no_memory(self) -> None:
        office = await self._office(2, ("v1",) * 3)
        messages: list[object] = []
        leader = office.leader
        assert leader is not None
        handle = leader.handle
        leader.handle = lambda name, msg: (messages.append(msg), handle(name, msg))[1]  # type: ignore[method-assign,assignment,func-returns-value]
        await office.begun_at("g0", "first")
        sent = await office.resume("g1", "first")
        self.assertTrue(office.goes_on(sent), sent.reply)
        kinds = {type(msg).__name__ for msg in messages}
        self.assertEqual(kinds, {"PlaceRequest", "Release"})
        self.assertEqual(len(leader.origins), 0)
        self.assertEqual([len(one.origins) for one in office.gateways.values()], [0, 0])

    # Guards against a gateway that learns of the second build after the leader placed on it.
    async def test_a_gateway_that_knew_of_one_build_tells_what_it_began(self) -> None:
        office = await self._office(2, HALVES)
        for gateway in office.gateways.values():
            gateway.known._upstreams.mixed = frozenset()
            gateway.fleet.on_knowledge()
        sent = office.begin("g0", "first")
        while not sent.numbers:
            await office.step()
        for gateway in office.gateways.values():
            gateway.set_upstreams(office.upstreams.values())
        (build,) = sent.builds
        sent.task.cancel()
        await office.step()
        again = await office.resume("g1", "first")
        self.assertTrue(office.goes_on(again), again.reply)
        self.assertEqual(again.builds, {build})


class OutOfStepTest(_StreamCase):
    """A gateway gets no messages for seconds, while upstreams with a second build join."""

    async def _mixed_but_at_one(self, path: str) -> tuple[StreamOffice, str]:
        """Begin a stream on a second build that one gateway has not heard of; return its id."""
        office = await self._office(2, ("v1",) * 3, ("v1",) * 3)
        late = office.gateways["g1"]
        late.frozen = True
        for at in range(2):
            for service in (ENGINES, PLAIN):
                _restart_as(office, office.upstreams[f"{service}-{at}"], "v2")
        office.see_leader()
        office.gateways["g0"].set_upstreams(office.upstreams.values())
        sent = [office.begin("g0", f"first-{at}", path=path) for at in range(ROUNDS)]
        while not all(one.numbers for one in sent):
            await office.step()
        for one in sent:
            one.task.cancel()
        await office.step()
        begun = [one.attempt for one in sent if one.builds == {"v2"}]
        return office, begun[0]

    async def _resumed(self, path: str, wakes: bool) -> StreamAttempt:
        office, attempt = await self._mixed_but_at_one(path)
        late = office.gateways["g1"]
        sent = office.begin("g1", "second", attempt, 1, path)
        await office.steps(50)
        if wakes:
            # What was sent meanwhile is read only now, behind the client's request.
            late.frozen = False
            late.set_upstreams(office.upstreams.values())
        await office.steps(1_500)
        self.assertLessEqual(sent.builds, {"v2"})
        self.assertTrue(sent.reply.ended)
        return sent

    # Guards against a stream that goes on at another build, at a gateway that is cut off.
    async def test_a_gateway_that_is_cut_off_lets_no_stream_go_on(self) -> None:
        for path in (ENGINES, STREAMS):
            with self.subTest(path):
                sent = await self._resumed(path, wakes=False)
                self.assertEqual(sent.numbers, [])
                self.assertIn(sent.reply.status, (503, 504))

    # Guards against a stream that goes on at another build, at a gateway that stood still and reads
    # the client's request before the news of the second build.
    async def test_a_gateway_that_stood_still_goes_on_at_the_build_that_began(self) -> None:
        for path in (ENGINES, STREAMS):
            with self.subTest(path):
                sent = await self._resumed(path, wakes=True)
                self.assertEqual(sent.builds, {"v2"})

    # Guards against a stream that nobody knows and that goes on at the only build that is left.
    async def test_a_gateway_that_stood_still_refuses_a_stream_that_nobody_knows(self) -> None:
        for path in (ENGINES, STREAMS):
            with self.subTest(path):
                office, _ = await self._mixed_but_at_one(path)
                for service in (ENGINES, PLAIN):
                    _restart_as(office, office.upstreams[f"{service}-2"], "v2")
                office.see_leader()
                runs = office.runs
                sent = office.begin("g1", "second", "never seen", 1, path)
                await office.steps(50)
                office.gateways["g1"].frozen = False
                office.gateways["g1"].set_upstreams(office.upstreams.values())
                await office.steps(1_500)
                self._assert_refused(sent, UNKNOWN_STREAM)
                self.assertEqual(office.runs, runs)

    # Guards against a service of one build whose clients' streams don't go on.
    async def test_a_stream_of_the_only_build_goes_on(self) -> None:
        for path in (ENGINES, STREAMS):
            office = await self._office(2, ("v1",) * 3, ("v1",) * 3)
            await office.begun_at("g0", "first", path)
            sent = await office.resume("g1", "first", path=path)
            self.assertTrue(office.goes_on(sent), sent.reply)


class GoneBuildTest(_StreamCase):
    # Guards against a stream that waits until its deadline for a build that has no engine left.
    async def test_a_stream_whose_build_has_no_engine_left_is_refused_at_once(self) -> None:
        office = await self._office(2, ("v1", "v2", "v2"))
        while await office.begun_at("g0", "first") != "v1":
            pass
        del office.upstreams[f"{ENGINES}-0"]
        office.see()
        runs, began_ms = office.runs, office.clock.now_ms()
        sent = office.begin("g1", "second", "first", 1)
        while not sent.reply.ended:
            await office.step()
        self._assert_refused(sent, BUILD_GONE)
        self.assertLessEqual(office.clock.now_ms() - began_ms, 50)
        self.assertEqual(office.runs, runs)

    # Guards against a caller who waits for the last engine of a build although it is full for long.
    async def test_a_stream_that_finds_no_room_at_its_build_in_time_is_refused_early(self) -> None:
        office = await self._office(2, ("v1", "v2", "v2"))
        while await office.begun_at("g0", "first") != "v1":
            pass
        assert office.leader is not None
        engine = office.leader.placer.engines[f"{ENGINES}-0"]
        template = PlaceRequest(
            "x/0", ENGINES, AdapterName("base", "a0"), 10, 10, (), 1, 500, 900, "dc"
        )
        for at in range(2 * engine.spec.batch):
            engine.adopt(dataclasses.replace(template, ticket=f"x/{at}"))
        began_ms = office.clock.now_ms()
        sent = [
            office.begin("g1", f"second-{at}", "first", 1) for at in range(8 * engine.spec.batch)
        ]
        await office.steps(100)
        refused = [one for one in sent if one.reply.ended]
        self.assertGreater(len(refused), 0)
        self.assertLessEqual(office.clock.now_ms() - began_ms, 104)
        for one in refused:
            self.assertEqual((one.reply.status, one.builds), (503, set()))

    # Guards against a stream that goes on at an engine of its build that leaves.
    async def test_an_engine_that_leaves_gets_no_stream_of_its_build(self) -> None:
        office = await self._office(2, ("v1", "v1", "v2"))
        while await office.begun_at("g0", "first") != "v1":
            pass
        leaving = office.upstreams.pop(f"{ENGINES}-0")
        office.see()
        before = len(leaving.arrivals)
        sent = await office.resume("g1", "first")
        self.assertTrue(office.goes_on(sent), sent.reply)
        self.assertEqual((sent.builds, len(leaving.arrivals)), ({"v1"}, before))


class LastCheckTest(_StreamCase):
    # Guards against a place that was granted before its engine started again with another build.
    async def test_a_build_that_changed_since_the_grant_gets_nothing(self) -> None:
        office = await self._office(1, ("v1", "v2", "v2"))
        while await office.begun_at("g0", "first") != "v1":
            pass
        sent = office.begin("g0", "second", "first", 1)
        await asyncio.sleep(0)
        engine = office.engine(0)
        runs = len(engine.arrivals)
        engine.record = dataclasses.replace(engine.record, build="v2")
        office.gateways["g0"].set_upstreams(office.upstreams.values())
        await office.steps(400)
        self.assertEqual((sent.builds, len(engine.arrivals)), (set(), runs))
        self.assertEqual(sent.reply.status, 503)

    # Guards against events that another upstream wrote than the one that was asked.
    async def test_an_answer_of_another_instance_brings_no_event(self) -> None:
        office = await self._office(1, HALVES)
        await office.begun_at("g0", "first")
        office.apis["g0"].written_by = "engines-9"
        sent = await office.resume("g0", "first")
        self.assertEqual(sent.numbers, [])
        self.assertNotEqual(sent.reply.ended, "whole")


class ServiceTest(_StreamCase):
    # Guards against a stream of a plain service that goes on at another build.
    async def test_a_stream_of_a_plain_service_goes_on_at_its_build(self) -> None:
        office = await self._office(2, ("v1",), ("p1", "p2", "p1", "p2"))
        for at in range(ROUNDS):
            build = await office.begun_at("g0", f"first-{at}", STREAMS)
            sent = await office.resume("g1", f"first-{at}", f"second-{at}", STREAMS)
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})

    # Guards against a plain service whose build is gone and whose stream goes on at another.
    async def test_a_stream_of_a_plain_service_whose_build_is_gone_is_refused(self) -> None:
        office = await self._office(2, ("v1",), ("p1", "p2"))
        build = await office.begun_at("g0", "first", STREAMS)
        at = {"p1": 0, "p2": 1}[build]
        del office.upstreams[f"{PLAIN}-{at}"]
        office.see()
        sent = await office.resume("g1", "first", path=STREAMS)
        self._assert_refused(sent, BUILD_GONE)

    # Guards against a route to two services, of which the other one goes on with a stream.
    async def test_a_stream_of_a_split_route_goes_on_at_its_service(self) -> None:
        office = await self._office(2, ("v1", "v2"), ("v1", "v2"))
        for at in range(ROUNDS):
            before = _resumed(office)
            build = await office.begun_at("g0", f"first-{at}", SPLIT)
            began = {
                one.record.service
                for one in office.upstreams.values()
                if one.arrivals and one.arrivals[-1][0] >= office.clock.now_ms() - 200
            }
            sent = await office.resume("g1", f"first-{at}", f"second-{at}", SPLIT)
            self.assertTrue(office.goes_on(sent), sent.reply)
            self.assertEqual(sent.builds, {build})
            (service,) = [name for name, count in _resumed(office).items() if count > before[name]]
            self.assertIn(service, began)

    # Guards against a route that moved to another service, which has a build of the same name.
    async def test_a_stream_whose_route_moved_is_refused(self) -> None:
        office = await self._office(2, ("v1", "v2"), ("v1", "v2"))
        origin = StreamOrigin(PLAIN, "v1")
        owner = stream_owner("", HOST)
        office.gateways["g1"].origins._book.note("first", owner, origin, 1_000)
        again = await office.resume("g1", "first")
        self._assert_refused(again, STREAM_MOVED)


def _restart_as(office: StreamOffice, engine: SignallingUpstream, build: str) -> None:
    """Replace an engine by another incarnation with another build, at the same address."""
    old = engine.record
    del office.upstreams[old.instance]
    name = f"{old.instance}~2"
    office.upstreams[name] = SignallingUpstream(
        dataclasses.replace(old, instance=name, build=build)
    )


def _resumed(office: StreamOffice) -> dict[str, int]:
    counts = {ENGINES: 0, PLAIN: 0}
    for one in office.upstreams.values():
        counts[one.record.service] += one.resumed
    return counts
