"""Mutants of sends through other gateways, and of upstreams that bear few rejections."""

from __future__ import annotations

from ..mutant import Mutant

_PATHS = "chestnutfall.tests.test_paths"
_HELPED = f"{_PATHS}.HelpedSendTest"
_DOWN = f"{_PATHS}.UpstreamDownTest"
_OBSERVED = "chestnutfall.tests.test_gateway_observations"
_REJECTIONS = "chestnutfall.tests.test_rejection_parts"
_API = "chestnutfall/paths/helped_upstream_api.py"
_SERVICE = "chestnutfall/paths/helper_service.py"
_GUARD = "chestnutfall/placement/rejection_guard.py"

_PAIRS = "chestnutfall.tests.test_pairs.DrawnPairsTest"
_LINKS = "chestnutfall.tests.test_link_directory"
_DIRECTORY = "chestnutfall/coordination/link_directory.py"

PATH_MUTANTS = (
    Mutant(
        "a helper that does not reach the upstream is asked",
        "chestnutfall/paths/known_helpers.py",
        "        return self._by_upstream.get(instance, self._addresses)\n",
        "        return self._addresses\n",
        f"{_PAIRS}.test_calls_go_through_a_gateway_that_reaches_the_upstream",
    ),
    Mutant(
        "a link counts as cut after it is back, until a call tries it",
        "chestnutfall/paths/link_prober.py",
        "        if self._probing is None:\n",
        "        if False:\n",
        f"{_PAIRS}.test_links_that_are_back_are_found_without_calls",
    ),
    Mutant(
        "a link that is back is not reported",
        "chestnutfall/paths/path_table.py",
        "            self.on_link(instance, False)\n",
        "",
        f"{_PAIRS}.test_links_that_are_back_are_found_without_calls",
    ),
    Mutant(
        "a new leader is not told of cut links",
        "chestnutfall/paths/link_reporter.py",
        "    return (LinkReport(instances),) if instances else ()\n",
        "    return ()\n",
        f"{_PAIRS}.test_a_new_leader_names_helpers_by_upstream_at_once",
    ),
    Mutant(
        "a gateway that is about to end is named as a helper",
        _DIRECTORY,
        "        if report.leaving and self._sessions.get(session):\n",
        "        if False:\n",
        _LINKS,
    ),
    Mutant(
        "the links of a gateway that ended outlive it",
        _DIRECTORY,
        "            self._note(session, instance, is_cut=False)\n        for sent",
        "            pass\n        for sent",
        _LINKS,
    ),
    Mutant(
        "the links of an upstream that is gone are kept",
        _DIRECTORY,
        "            del self._cut[instance], self._names[instance]\n",
        "            pass\n",
        _LINKS,
    ),
    Mutant(
        "an engine that no gateway reaches is given requests",
        "chestnutfall/placement/reachability.py",
        "        return self.is_reached_by_none or now_ms < self._down_until_ms\n",
        "        return now_ms < self._down_until_ms\n",
        _LINKS,
    ),
    Mutant(
        "placement does not know of cut links",
        "chestnutfall/placement/reachability.py",
        "        return gateway in self.reported_cut or now_ms",
        "        return now_ms",
        _LINKS,
    ),
    Mutant(
        "gateways that know each other ask helpers that do not reach the upstream",
        "chestnutfall/membership/peer_helpers.py",
        "        able = [one for one in ring if instance not in gateways[one.name].cut]\n",
        "        able = list(ring)\n",
        "chestnutfall.tests.test_peer_helpers",
    ),
    Mutant(
        "a silent connection between gateways stays open",
        "chestnutfall/wire/keepalive.py",
        '        ("grpc.http2.ping_timeout_ms", max_silence_ms),\n',
        "",
        "chestnutfall.tests.test_helper_links",
    ),
    Mutant(
        "a gateway that is cut off asks no helper",
        _API,
        "        for address in self._helpers.candidates(instance):",
        "        for address in ():",
        f"{_HELPED}.test_calls_of_gateways_that_are_cut_off_are_sent_by_others",
    ),
    Mutant(
        "a helper passes calls on to another helper",
        _SERVICE,
        "                answer = await self._api.send_directly(stack, forwarded)",
        "                answer = await stack.enter_async_context(self._api.send(forwarded))",
        f"{_HELPED}.test_a_call_is_passed_on_once_also_if_all_gateways_are_cut_off",
    ),
    Mutant(
        "a helper sends for strangers",
        _SERVICE,
        "        if not self._accepts(asked.keys):\n            log",
        "        if False:\n            log",
        f"{_HELPED}.test_a_helper_sends_nothing_without_the_key_of_the_fleet",
    ),
    Mutant(
        "a helper ignores what upstreams asked it",
        _SERVICE,
        "        if not self._signals.may_send(instance):",
        "        if False:",
        f"{_HELPED}.test_a_helper_obeys_the_signals_that_it_received",
    ),
    Mutant(
        "a helper that leaves takes calls",
        _SERVICE,
        "        if self._refusing:",
        "        if False:",
        f"{_HELPED}.test_a_helper_that_is_full_or_leaving_refuses_as_not_sent",
    ),
    Mutant(
        "a helper takes any number of calls",
        _SERVICE,
        "        if self.in_progress >= MAX_HELPED:",
        "        if False:",
        f"{_HELPED}.test_a_helper_that_is_full_or_leaving_refuses_as_not_sent",
    ),
    Mutant(
        "a lost helper counts as not sent",
        "chestnutfall/paths/helper_links.py",
        '            raise _ConnectionLost("helper_lost") from exc\n        return await',
        '            raise NotSent("helper_lost") from exc\n        return await',
        "chestnutfall.tests.test_helper_links",
    ),
    Mutant(
        "a connection to a helper that was lost is used once more",
        "chestnutfall/paths/helper_links.py",
        "            self._drop(address, channel)\n            raise\n",
        "            raise\n",
        "chestnutfall.tests.test_helper_links.HelperLinksTest."
        "test_a_helper_whose_connection_is_silent_is_found_out_and_not_asked",
    ),
    Mutant(
        "a call without an answer ends the streams beside it",
        "chestnutfall/wire/rpc_channel.py",
        "        self._retire(silent)\n",
        "        asyncio.ensure_future(silent.channel.close(grace=1.0))\n",
        "chestnutfall.tests.test_wire.SharedChannelTest.test_a_call_without_an_answer_ends_no_other",
    ),
    Mutant(
        "a connection that was found silent stays open",
        "chestnutfall/wire/rpc_channel.py",
        "        stream.add_done_callback(connection.end_use)\n",
        "",
        "chestnutfall.tests.test_wire.SharedChannelTest."
        "test_a_connection_that_is_not_used_any_more_closes_behind_its_last_stream",
    ),
    Mutant(
        "the end of a stream ends the search for the leader",
        "chestnutfall/forwarding/leader_stream.py",
        "                if isinstance(exc, asyncio.CancelledError) and was_cancelled():",
        "                if isinstance(exc, asyncio.CancelledError):",
        "chestnutfall.tests.test_leader_stream",
    ),
    Mutant(
        "a silent second of the link to a helper ends its answers",
        "chestnutfall/paths/helper_links.py",
        "address, HELP_CODEC, self._tls, HELPER_SILENCE_MS",
        "address, HELP_CODEC, self._tls",
        "chestnutfall.tests.test_helper_links.HelperLinksTest."
        "test_an_answer_outlives_a_silent_second_of_the_link_to_the_helper",
    ),
    Mutant(
        "a helper that refuses one upstream is not asked for others",
        _API,
        "            except NotSent as exc:\n                failure = exc\n            else:\n",
        "            except NotSent as exc:\n                failure = exc\n"
        "                self._helpers.note_failed(address)\n            else:\n",
        f"{_HELPED}.test_a_helper_that_may_not_send_to_one_upstream_is_asked_for_others",
    ),
    Mutant(
        "a link is never tried again",
        _API,
        "        if await self._opens(upstream.address):",
        "        if False:",
        f"{_HELPED}.test_after_a_cut_calls_go_over_the_own_link_at_once",
    ),
    Mutant(
        "a helper that is cut off is a witness",
        _SERVICE,
        "            return PortChecked(True if await self._opens_any(others) else None)",
        "            return PortChecked(True)",
        f"{_DOWN}.test_a_port_that_only_gateways_that_are_cut_off_see_closed_is_no_end",
    ),
    Mutant(
        "a closed port needs no witness",
        "chestnutfall/paths/port_witness.py",
        "        if self._is_alone():",
        "        if True:",
        f"{_DOWN}.test_a_port_that_only_gateways_that_are_cut_off_see_closed_is_no_end",
    ),
    Mutant(
        "a gateway that opens the port disproves nothing",
        "chestnutfall/paths/port_witness.py",
        "        if False in seen:\n",
        "        if False:\n",
        f"{_DOWN}.test_a_port_that_opens_for_any_gateway_is_no_end",
    ),
    Mutant(
        "what one gateway can't reach is down for all",
        "chestnutfall/placement/reachability.py",
        "        self._confirmed += is_confirmed",
        "        self._confirmed += 1",
        f"{_OBSERVED}.GatewayObservationsTest",
    ),
    Mutant(
        "an answer doesn't show that an engine is up",
        "chestnutfall/placement/reachability.py",
        "        self._confirmed = 0\n        self._down_until_ms = -1\n\n    def is_cut",
        "\n    def is_cut",
        f"{_OBSERVED}.GatewayObservationsTest",
    ),
    Mutant(
        "an answer after the break doesn't disprove an end",
        "chestnutfall/coordination/gateway_observations.py",
        "            report = replace(report, refuses=False)",
        "            pass",
        f"{_OBSERVED}.GatewayObservationsTest",
    ),
    Mutant(
        "gateways that are cut off are named as helpers",
        "chestnutfall/paths/helper_ring.py",
        "    able = [one for one in ring if one.can_help and one.address]",
        "    able = [one for one in ring if one.address]",
        _PATHS,
    ),
    Mutant(
        "places that may still be in use are given away",
        _GUARD,
        "        return sent + len(self._uncertain_until_ms) < batch",
        "        return sent < batch",
        f"{_REJECTIONS}.RejectionGuardTest",
    ),
    Mutant(
        "no rejection is kept back",
        _GUARD,
        "        if self._rejected_ms and len(self._rejected_ms) >= max(self.per_s - RESERVE, 1):",
        "        if False:",
        f"{_REJECTIONS}.RejectionGuardTest",
    ),
    Mutant(
        "a new leader fills engines at once",
        _GUARD,
        "        if now_ms < self.careful_until_ms:",
        "        if False:",
        f"{_REJECTIONS}.RejectionGuardTest",
    ),
    Mutant(
        "a new leader doesn't count what runs",
        "chestnutfall/coordination/rejection_coordinator.py",
        "            self._placer.adopt(one.req, one.instance)",
        "            pass",
        f"{_REJECTIONS}.NewLeaderTest",
    ),
    Mutant(
        "without a leader gateways take any place",
        "chestnutfall/forwarding/running_sends.py",
        "        return self._counts[instance] < self._left[instance]",
        "        return True",
        f"{_REJECTIONS}.RunningSendsTest",
    ),
    Mutant(
        "a gateway alone uses up an upstream's rejections",
        "chestnutfall/signals/known_rejections.py",
        "        return not times or len(times) < per_s",
        "        return True",
        f"{_REJECTIONS}.KnownRejectionsTest",
    ),
    Mutant(
        "calls wait at plain upstreams that bear few rejections",
        "chestnutfall/concurrency/service_room.py",
        "places if name in self._rejections else places + margin(places, run_ms)",
        "places + margin(places, run_ms)",
        f"{_REJECTIONS}.PlainRoomTest",
    ),
    Mutant(
        "plain upstreams that bear few rejections get calls after rejections",
        "chestnutfall/concurrency/service_room.py",
        "            if left > 0 and self._leaves_rejections(name, now_ms):",
        "            if left > 0:",
        f"{_REJECTIONS}.PlainRoomTest",
    ),
    Mutant(
        "the leader doesn't hear of upstreams that bear few rejections",
        "chestnutfall/signals/known_signals.py",
        "        if rejections is None:\n",
        "        if not rejections:\n",
        f"{_REJECTIONS}.KnownSignalsTest",
    ),
)
