"""Safeguards that keep a stream at the build that began it, and changes that remove them."""

from __future__ import annotations

from ..mutant import Mutant

_TESTS = "chestnutfall.tests.test_stream_origins."
_PARTS = "chestnutfall.tests.test_stream_parts."
_PLACEMENT = "chestnutfall.tests.test_build_placement.BuildPlacementTest."
_GATEWAY = "chestnutfall/forwarding/stream_origins.py"
_LEADER = "chestnutfall/coordination/origin_coordinator.py"
_DECISIONS = "chestnutfall/placement/request_decisions.py"

STREAM_MUTANTS = (
    Mutant(
        "a broken answer goes on at any build",
        _GATEWAY,
        "        if origin is None or (origin.is_anonymous and",
        "        if True or (origin.is_anonymous and",
        _TESTS + "ResumedElsewhereTest.test_an_answer_that_breaks_off_goes_on_at_its_build",
    ),
    Mutant(
        "a stream that is taken up goes on at any build",
        _GATEWAY,
        "        if progress.origin is not None or not progress.resumes:\n            return\n",
        "        if True:\n            return\n",
        _TESTS + "ResumedElsewhereTest.test_a_stream_goes_on_at_its_build_at_any_gateway",
    ),
    Mutant(
        "a stream of an unknown build goes on",
        _GATEWAY,
        "            raise NoPlace(UNKNOWN_STREAM, BEGIN_ANEW_MS)\n",
        "            return\n",
        _TESTS + "UnknownStreamTest.test_an_unknown_stream_is_refused_at_once",
    ),
    Mutant(
        "a second build that comes before the send goes unnoticed",
        _GATEWAY,
        "        return is_known or not self.is_mixed(upstream.service)\n",
        "        return True\n",
        _TESTS + "SecondBuildTest.test_a_second_build_that_comes_while_a_stream_waits_is_not_taken",
    ),
    Mutant(
        "a build that changed since the grant is sent a stream",
        _GATEWAY,
        "            return bound_to.includes(upstream)\n",
        "            return True\n",
        _TESTS + "LastCheckTest.test_a_build_that_changed_since_the_grant_gets_nothing",
    ),
    Mutant(
        "streams of before the second build are forgotten",
        _GATEWAY,
        "            if progress.origin is not None and progress.origin.service in new:\n",
        "            if False:\n",
        _TESTS + "SecondBuildTest.test_a_stream_of_before_the_second_build_goes_on_at_the_first",
    ),
    Mutant(
        "a new leader is not told what streams began on",
        _GATEWAY,
        "        return (self._all_known(),)\n",
        "        return ()\n",
        _TESTS + "LeaderTest.test_a_stream_goes_on_after_a_change_of_leader_with_many_upstreams",
    ),
    Mutant(
        "the leader is not told of a stream that it did not place as one",
        _GATEWAY,
        "            if not is_recorded:\n",
        "            if False:\n",
        _TESTS + "ServiceTest.test_a_stream_of_a_plain_service_goes_on_at_its_build",
    ),
    Mutant(
        "a gateway that was long without a leader trusts the builds that it knew",
        _GATEWAY,
        "        if progress.origin is None and self._fleet.leaderless_ms <= TRUSTED_MS:\n",
        "        if progress.origin is None:\n",
        _TESTS + "LeaderTest.test_a_stream_that_began_long_without_a_leader_is_not_known",
    ),
    Mutant(
        "a gateway without a leader resumes what it does not know",
        _GATEWAY,
        "        await self._wait_for_leader(progress)\n        services",
        "        services",
        _TESTS + "LeaderTest.test_without_a_leader_only_a_known_stream_goes_on",
    ),
    Mutant(
        "a split route leads a stream to its other service",
        _GATEWAY,
        "        progress.service = origin.service\n",
        "",
        _TESTS + "ServiceTest.test_a_stream_of_a_split_route_goes_on_at_its_service",
    ),
    Mutant(
        "a route that moved leads a stream to another service",
        _GATEWAY,
        "        if origin.service not in services:\n",
        "        if False:\n",
        _TESTS + "ServiceTest.test_a_stream_whose_route_moved_is_refused",
    ),
    Mutant(
        "the leader does not record what it grants to a stream",
        _LEADER,
        "        self._book.note(stream.attempt, stream.owner, origin, stream.left_ms)\n",
        "",
        _TESTS + "ResumedElsewhereTest.test_a_stream_of_a_gateway_that_ended_goes_on_at_its_build",
    ),
    Mutant(
        "a new leader answers before its gateways have told",
        _LEADER,
        "            if origin is None and not all_told and",
        "            if False and",
        _TESTS + "LeaderTest.test_a_new_leader_waits_for_gateways_that_have_not_told",
    ),
    Mutant(
        "a new leader waits for a frozen gateway until the caller's deadline",
        _LEADER,
        " and self._clock.now_ms() < question.until_ms:\n",
        ":\n",
        _TESTS + "LeaderTest.test_a_new_leader_does_not_wait_for_a_frozen_gateway_for_long",
    ),
    Mutant(
        "a stream goes on with what another caller began",
        "chestnutfall/resumption/stream_owner.py",
        '    return digest_of(f"{kind}\\0{name}", b"")[:OWNER_CHARS]\n',
        '    return digest_of("", b"")[:OWNER_CHARS]\n',
        _TESTS + "UnknownStreamTest.test_a_stream_of_another_caller_is_unknown",
    ),
    Mutant(
        "a stream goes on only with the body that began it",
        _GATEWAY,
        "        owner = stream_owner(progress.organisation, progress.call.host)\n        known",
        "        owner = progress.fingerprint\n        known",
        _TESTS + "ResumedElsewhereTest.test_a_stream_goes_on_with_another_body",
    ),
    Mutant(
        "a stream that earlier software began is unknown",
        _GATEWAY,
        "        owners = (owner, progress.fingerprint)\n",
        "        owners = (owner,)\n",
        _TESTS + "ResumedElsewhereTest.test_a_stream_that_earlier_software_began_goes_on",
    ),
    Mutant(
        "an answer of another instance reaches the client",
        "chestnutfall/forwarding/relayed_send.py",
        '            if answer.written_by not in ("", self.place.upstream.announced_name):\n',
        "            if False:\n",
        _TESTS + "LastCheckTest.test_an_answer_of_another_instance_brings_no_event",
    ),
    Mutant(
        "the leader places a stream on any build",
        "chestnutfall/placement/queue_rounds.py",
        '    return engine.service == queue.service and queue.build_key in ("", ',
        "    return engine.service == queue.service and queue.build_key in (queue.build_key, ",
        _PLACEMENT + "test_a_stream_is_placed_on_its_build_only",
    ),
    Mutant(
        "a stream waits for a build that has no engine left",
        _DECISIONS,
        "        if waiting.build_key and not service_round.selector.is_known:\n",
        "        if False:\n",
        _PLACEMENT + "test_a_stream_whose_last_engine_is_gone_is_refused_at_once",
    ),
    Mutant(
        "new streams fill the last engine of a build",
        "chestnutfall/placement/engine_costs.py",
        "    return RESERVED_COST_MS if engine.has_only_reserved_places else 0.0\n",
        "    return 0.0\n",
        _PLACEMENT + "test_new_streams_leave_the_last_engine_of_a_build_to_those_that_go_on_there",
    ),
    Mutant(
        "places stay reserved for streams that do not come",
        "chestnutfall/placement/build_reservations.py",
        "        wanted = {queue: window.count(now_ms) for",
        "        wanted = {queue: 4 for",
        _PLACEMENT
        + "test_reserved_places_are_used_where_all_engines_are_full_and_end_with_the_need",
    ),
    Mutant(
        "a plain service goes on with a stream at any build",
        "chestnutfall/forwarding/plain_upstream_selector.py",
        "        upstreams = [one for one in upstreams if criteria.allows(one)]\n",
        "",
        _TESTS + "ServiceTest.test_a_stream_of_a_plain_service_whose_build_is_gone_is_refused",
    ),
    Mutant(
        "without a leader a stream goes on at any holder",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "            and criteria.allows(upstream)\n",
        "",
        _TESTS + "LeaderTest.test_without_a_leader_an_answer_goes_on_at_its_build",
    ),
    Mutant(
        "a helper sends a stream to a build that it knows otherwise",
        "chestnutfall/paths/helper_service.py",
        "(known.address, known.build) != (wanted.address, wanted.build):",
        "known.address != wanted.address:",
        "chestnutfall.tests.test_helper_links.HelperLinksTest."
        "test_a_call_for_an_upstream_of_another_build_is_not_sent",
    ),
    Mutant(
        "a former build is forgotten when its engine starts again under its name",
        "chestnutfall/control/upstream_roster.py",
        "                if earlier.build != record.build:\n",
        "                if False:\n",
        _PARTS
        + "MixedServiceTest.test_a_restart_with_another_build_under_the_same_name_is_remembered",
    ),
    Mutant(
        "a gateway is not told of a second build",
        "chestnutfall/coordination/upstream_views.py",
        "        if not added and not dropped and mixed == self._mixed:\n",
        "        if not added and not dropped:\n",
        _PARTS + "MixedNewsTest.test_gateways_learn_which_services_are_mixed",
    ),
    Mutant(
        "a gateway trusts what it knew of builds before it was cut off",
        "chestnutfall/forwarding/stream_origins.py",
        "            if leader_places or not progress.call.resumes:",
        "            if True:",
        "chestnutfall.tests.test_stream_origins",
    ),
    Mutant(
        "what the leader told before its answer is not looked at",
        "chestnutfall/forwarding/stream_origins.py",
        "            if not any(self.is_mixed(service) for service in services):\n"
        "                progress.origin = origin\n                return",
        "            progress.origin = origin\n            return",
        "chestnutfall.tests.test_stream_origins",
    ),
)
