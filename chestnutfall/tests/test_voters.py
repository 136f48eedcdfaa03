"""Who votes in the group of controllers, when machines and their disks are lost.

The first group has the controllers of the settings file as its voters, and only a leader adds
others. A loss that is to be borne must leave a group that elects a leader and has what was
acknowledged, from the first start on.
"""

from __future__ import annotations

import asyncio
import unittest

from ..consensus import Member, Tolerance
from ..coordination.voter_plan import VoterPlan
from .fakes.controller_office import ControllerOffice

FIVE_IN_ONE = dict.fromkeys("abcde", "dc1")
FIVE_IN_THREE = {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2", "e": "dc3"}


def _members(places: dict[str, str], voters: str = "") -> tuple[Member, ...]:
    return tuple(
        Member(name, name, name in voters or not voters, place, "region")
        for name, place in places.items()
    )


class VoterPlanTest(unittest.TestCase):
    def _chosen(self, tolerance: Tolerance, members: tuple[Member, ...], first: str = "a") -> str:
        chosen = VoterPlan(tolerance).choose(members, first)
        return "".join(sorted(one.replica_id for one in chosen))

    def test_present_voters_stay_where_places_do_not_matter(self) -> None:
        members = _members(FIVE_IN_THREE, "abe")
        self.assertEqual(self._chosen(Tolerance(1), members), "abe")

    def test_voters_are_spread_over_data_centres(self) -> None:
        for first, chosen in (("a", "ace"), ("b", "bce")):
            members = _members(FIVE_IN_THREE, "abc")
            self.assertEqual(self._chosen(Tolerance(1, 1), members, first), chosen)

    def test_more_vote_where_fewer_can_not_be_spread(self) -> None:
        places = {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2", "e": "dc3", "f": "dc4"}
        self.assertEqual(len(self._chosen(Tolerance(0, 1), _members(places))), 3)
        self.assertEqual(len(self._chosen(Tolerance(0, 2), _members(places))), 1)

    def test_as_many_as_hosts_require_vote_where_no_choice_bears_all_losses(self) -> None:
        places = {"a": "dc1", "b": "dc1", "c": "dc2"}
        self.assertEqual(self._chosen(Tolerance(1, 1), _members(places)), "abc")

    def test_hosts_whose_loss_does_not_count_do_not_vote(self) -> None:
        extra = Member("A", "A", False, "dc9", "region", counts=False)
        members = (*_members(FIVE_IN_THREE, "abc"), extra)
        self.assertNotIn("A", self._chosen(Tolerance(1, 1), members))


class LostControllersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncTearDown(self) -> None:
        await self.office.stop()

    async def _begin(self, places: dict[str, str], tolerance: Tolerance, seed: int = 1) -> None:
        self.office = ControllerOffice(seed, places, tolerance)
        await self.office.first_start()

    async def _assert_kept(self) -> None:
        leader = await self.office.leader()
        self.assertGreater(self.office.acknowledged, 0)
        self.assertEqual(leader.state.document.version, self.office.acknowledged)
        self.assertTrue(await self.office.acknowledge())

    async def test_the_loss_of_a_data_centre_keeps_what_was_acknowledged(self) -> None:
        # `tolerate` names a data centre, and two of three voters stood in it.
        await self._begin(FIVE_IN_THREE, Tolerance(1, 1))
        self.assertTrue(await self.office.acknowledge())
        await self.office.kill("a", "b", wipe=True)
        await self.office.pass_ms(1_400)
        await self.office.start("a")
        await self.office.start("b")
        await self._assert_kept()

    async def test_two_founders_that_lose_their_disks_leave_a_group_that_works(self) -> None:
        # The third founder can't win a majority, and nobody else may add voters.
        for seed in range(4):
            with self.subTest(seed):
                await self._begin(FIVE_IN_ONE, Tolerance(2), seed)
                await self.office.pass_ms(100 + 150 * seed)
                await self.office.kill("a", "b", wipe=True)
                await self.office.pass_ms(1_400)
                await self.office.start("a")
                await self.office.start("b")
                self.assertTrue(await self.office.acknowledge())
                await self.office.stop()

    async def test_a_small_group_keeps_what_it_acknowledged_with_two_disks_lost(self) -> None:
        # Two hosts were down from the first start on, and two of the three others lose their disks.
        self.office = ControllerOffice(1, FIVE_IN_ONE, Tolerance(2))
        await self.office.first_start("abc")
        self.assertTrue(await self.office.acknowledge())
        await self.office.kill("a", "b", wipe=True)
        await self.office.pass_ms(3_000)
        for name in "abde":
            await self.office.start(name)
        await self._assert_kept()

    async def test_hosts_without_disks_are_found_though_they_know_no_member(self) -> None:
        # All hosts that the settings name lost their disks, so that none can name the leader.
        places = {name: "dc1" if name in "abc" else f"dc-{name}" for name in "abcdefg"}
        await self._begin(places, Tolerance(1, 1))
        self.assertTrue(await self.office.acknowledge())
        await self.office.pass_ms(3_000)
        await self.office.kill("a", "b", "c", wipe=True)
        await self.office.pass_ms(1_400)
        for name in "abc":
            await self.office.start(name)
        await self._assert_kept()
        await self.office.pass_ms(5_000)
        leader = await self.office.leader()
        addresses = {member.address for member in leader.replica.members}
        self.assertEqual(addresses, set("abcdefg"))

    async def test_the_group_grows_only_with_founders_that_know_of_it(self) -> None:
        # A founder that was down since the first start would lead alone, with an old log, if the
        # two others lost their disks. So it has to have seen that others vote now.
        await self._begin(FIVE_IN_ONE, Tolerance(2))
        await self.office.kill("c")
        await self.office.pass_ms(6_000)
        self.assertEqual(self.office.leaders(), [])
        await self.office.start("c")
        self.assertTrue(await self.office.acknowledge(2_000))

    async def test_a_promotion_is_committed_only_with_the_voters_before_it(self) -> None:
        # A founder goes down just as the first learner has been added.
        self.office = ControllerOffice(1, FIVE_IN_ONE, Tolerance(2))
        await self.office.first_start("abc")
        replica = (await self.office.leader()).replica
        await self.office.start("d")
        while replica.log.members_index > replica.commit_index or len(replica.members) < 4:
            await self.office.clock.advance(1)
        names = [one.address for one in replica.members if one.replica_id != replica.replica_id]
        await self.office.kill(names[0])
        await self.office.pass_ms(4_000)
        voters = replica.log.members_at(replica.commit_index)
        self.assertEqual(len([one for one in voters if one.voter]), 3)
        await self.office.start(names[0])
        self.assertTrue(await self.office.acknowledge(12_000))

    async def test_voters_that_bear_all_losses_stay(self) -> None:
        # Where no loss is to be borne, one voter would do, and its death would end the service.
        await self._begin(dict.fromkeys("abcd", "dc1"), Tolerance(0))
        self.assertTrue(await self.office.acknowledge())
        await self.office.pass_ms(5_000)
        leader = await self.office.leader()
        voters = [one.address for one in leader.replica.members if one.voter]
        self.assertEqual(sorted(voters), ["a", "b", "c"])

    async def test_a_voter_whose_loss_does_not_count_is_replaced(self) -> None:
        self.office = ControllerOffice(1, dict.fromkeys("abcd", "dc1"), Tolerance(1))
        uncounted = self.office.hosts["b"]
        uncounted.place = type(uncounted.place)("dc1", "region", counts=False)
        await self.office.first_start()
        self.assertTrue(await self.office.acknowledge())
        await self.office.pass_ms(5_000)
        leader = await self.office.leader()
        voters = {one.address for one in leader.replica.members if one.voter}
        self.assertEqual(voters - {"b"}, set("acd"))
        # The leader itself stays until another one leads.
        self.assertLessEqual(voters & {"b"}, {_own(leader).pop()})

    async def test_a_founder_that_never_comes_back_does_not_stop_the_group_for_ever(self) -> None:
        await self._begin(FIVE_IN_ONE, Tolerance(2))
        await self.office.kill("c")
        self.assertTrue(await self.office.acknowledge(12_000))
        await self.office.pass_ms(3_000)
        leader = await self.office.leader()
        voters = {one.address for one in leader.replica.members if one.voter}
        self.assertEqual(voters, set("abcde"))
        await self.office.start("c")
        await self.office.pass_ms(3_000)
        await self._assert_kept()

    async def test_a_removed_voter_is_asked_until_its_removal_is_committed(self) -> None:
        # The next leader doesn't know that a removed voter is lost, and could never commit.
        await self._begin(FIVE_IN_ONE, Tolerance(2))
        leader = await self.office.leader()
        replica = leader.replica
        gone = next(one for one in replica.members if one.replica_id != replica.replica_id)
        await self.office.kill(gone.address, wipe=True)
        await self.office.start(gone.address)
        changing = asyncio.ensure_future(
            replica.change_members(tuple(one for one in replica.members if one != gone))
        )
        await self.office.pass_ms(1_000)
        self.assertTrue(changing.done() and changing.exception() is None)

    async def test_a_survivor_that_may_lack_entries_does_not_lead(self) -> None:
        # Two of three voters lost their disks where the loss of one is to be borne.
        await self._begin(dict.fromkeys("abc", "dc1"), Tolerance(1))
        self.assertTrue(await self.office.acknowledge())
        await self.office.kill("a", "b", wipe=True)
        await self.office.start("a")
        await self.office.start("b")
        await self.office.pass_ms(6_000)
        self.assertEqual(self.office.leaders(), [])

    async def test_a_host_that_is_down_is_not_taken_for_one_without_a_disk(self) -> None:
        await self._begin(FIVE_IN_ONE, Tolerance(2))
        await self.office.pass_ms(100)
        await self.office.kill("a", wipe=True)
        await self.office.kill("b", "d", "e")
        await self.office.start("a")
        await self.office.pass_ms(6_000)
        self.assertEqual(self.office.leaders(), [])

    async def test_a_host_that_moves_to_another_data_centre_is_counted_there(self) -> None:
        places = {"a": "dc1", "b": "dc2", "c": "dc3", "d": "dc4"}
        await self._begin(places, Tolerance(1, 1))
        self.assertTrue(await self.office.acknowledge())
        leader = await self.office.leader()
        moving = next(
            one for one in leader.replica.members if one.voter and one.address not in _own(leader)
        )
        host = self.office.hosts[moving.address]
        await self.office.kill(moving.address)
        others = [one for one in leader.replica.members if one.voter and one != moving]
        host.place = type(host.place)(others[0].data_centre, "region")
        await self.office.start(moving.address)
        await self.office.pass_ms(4_000)
        leader = await self.office.leader()
        voters = [one for one in leader.replica.members if one.voter]
        self.assertTrue(Tolerance(1, 1).is_borne_by(voters), voters)


def _own(leader: object) -> set[str]:
    replica = leader.replica  # type: ignore[attr-defined]
    return {one.address for one in replica.members if one.replica_id == replica.replica_id}


if __name__ == "__main__":
    unittest.main()
