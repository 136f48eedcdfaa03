"""Configuration, claims and permits as functions of the log.

Commands arrive in any order and are sent again, and the state is restored from a snapshot at any
point. The tests guard against accepted changes that are lost, changes that overwrite a concurrent
one without a conflict, a non-idempotent request that runs twice, and more simultaneous loads from
the weight store than are permitted.
"""

from __future__ import annotations

import json
import unittest
from contextlib import suppress
from typing import Any

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from chestnutfall.config.content_digest import ContentDigest
from chestnutfall.config.layered_config import BASE_LAYER, LayeredConfig
from chestnutfall.config.merge_diff import merge_diff
from chestnutfall.config.site_config import SiteConfig
from chestnutfall.control import control_state
from chestnutfall.control.claim import ClaimStatus
from chestnutfall.control.commands import (
    COMMAND_CODEC,
    AdvanceTime,
    ChangeConfig,
    Changed,
    ClaimTaken,
    Conflict,
    Done,
    EndClaim,
    EndPermit,
    NoPermit,
    PermitTaken,
    TakeClaim,
    TakePermit,
)
from chestnutfall.control.control_state import ControlState
from chestnutfall.wire import UnknownMessage

change_numbers = st.integers(0, 3)
entry = st.recursive(
    st.integers(0, 2) | st.booleans() | st.text("ab", max_size=2),
    lambda inner: st.dictionaries(st.sampled_from("xyz"), inner, max_size=3),
    max_leaves=4,
)
entries = st.dictionaries(st.sampled_from("xyz"), entry, max_size=3)
sections = st.dictionaries(
    st.sampled_from(["adapters", "callers"]),
    st.dictionaries(st.sampled_from("abc"), entries | st.none(), max_size=3),
    max_size=2,
)
patches = st.fixed_dictionaries({BASE_LAYER: sections}, optional={"site:one": sections})


FIELDS = {
    "NameVersion": {"model": "base", "adapter": "a1", "version": 2},
    "PutDocument": {"version": 3, "content": b"document"},
    "AdvanceTime": {"ms": 7},
    "EndPermit": {"permit_id": "p"},
}
"""Commands, and fields with which they can be read."""
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2),
    max_leaves=3,
)


def _apply(state: ControlState, command: Any, index: int = 1) -> Any:
    return state.apply(index, COMMAND_CODEC.encode(command))


def _change(change_id: str, from_revision: int, patch: Any) -> ChangeConfig:
    return ChangeConfig(change_id, "ana", from_revision, json.dumps(patch), "", 0)


def _state() -> ControlState:
    state = ControlState()
    _apply(state, _change("first", 0, {BASE_LAYER: {"sites": {"one": {}, "two": {}}}}))
    return state


def _restored(state: ControlState) -> ControlState:
    copy = ControlState()
    copy.restore(state.dump())
    return copy


class UnreadableEntriesTest(unittest.TestCase):
    # Guards against an entry that ends each replica which applies it, again at each start, and with
    # them the group and all that was acknowledged.
    @given(st.binary(max_size=40))
    def test_bytes_that_are_no_command_have_no_effect(self, data: bytes) -> None:
        self._assert_passed_over(data)

    @given(st.sampled_from(sorted(FIELDS)), json_values, st.integers(0, 2))
    def test_a_command_with_a_value_of_another_type_has_no_effect(
        self, name: str, value: Any, at: int
    ) -> None:
        fields = FIELDS[name] | {sorted(FIELDS[name])[at % len(FIELDS[name])]: value}
        data = msgspec.msgpack.encode((name, fields))
        with suppress(ValueError):
            COMMAND_CODEC.decode(data)
            return
        self._assert_passed_over(data)

    # Guards against replicas of two releases that hold different states after the same entries.
    def test_a_command_of_a_later_release_ends_the_replica(self) -> None:
        with self.assertRaises(UnknownMessage):
            _state().apply(2, msgspec.msgpack.encode(("CommandOfLater", {})))

    def _assert_passed_over(self, data: bytes) -> None:
        state = _state()
        before = state.dump()
        with self.assertLogs(control_state.log, "ERROR"):
            state.apply(2, data)
        self.assertEqual(state.dump(), before)
        self.assertIsInstance(_apply(state, AdvanceTime(5), 3), Done)


class ConfigurationTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(change_numbers, st.integers(0, 5), patches), max_size=12),
        st.integers(0, 12),
    )
    def test_one_change_makes_each_revision_and_a_resend_gets_the_first_outcome(
        self, changes: list[tuple[int, int, Any]], snapshot_after: int
    ) -> None:
        state = _state()
        accepted: dict[str, int] = {}
        for number, (change_number, from_revision, patch) in enumerate(changes):
            before = state.revision
            change_id = f"change {change_number}"
            outcome = _apply(state, _change(change_id, from_revision, patch))
            if change_id in accepted:
                self.assertEqual(outcome, Changed(accepted[change_id]))
                self.assertEqual(state.revision, before)
            elif from_revision == before:
                self.assertEqual(outcome, Changed(before + 1))
                accepted[change_id] = before + 1
            else:
                self.assertIsInstance(outcome, Conflict)
                self.assertEqual(state.revision, before)
            if number == snapshot_after:
                state = _restored(state)
        self.assertEqual(len(set(accepted.values())), len(accepted))
        self.assertTrue(all(record.has_valid_hash() for record in state.audit))

    @given(st.lists(patches, max_size=8))
    def test_deltas_and_a_whole_copy_give_the_same_digest(self, all_patches: list[Any]) -> None:
        state = _state()
        for number, patch in enumerate(all_patches):
            _apply(state, _change(f"{number}", state.revision, patch))
        for site in ("one", "two"):
            whole = SiteConfig(site, LayeredConfig(json.loads(json.dumps(state.layers.layers))))
            self.assertEqual(whole.digest, state.sites[site].digest)
            self.assertEqual(whole.entries, _without_empty(state.sites[site].entries, whole))
            self.assertEqual(_restored(state).sites[site].digest, whole.digest)

    @given(entries, entries)
    def test_applying_the_difference_gives_the_wanted_document(self, old: Any, new: Any) -> None:
        layers = LayeredConfig({BASE_LAYER: {"adapters": json.loads(json.dumps(old))}})
        layers.apply({BASE_LAYER: {"adapters": merge_diff(old, new)}})
        self.assertEqual(layers.layers[BASE_LAYER]["adapters"], new)

    @given(
        st.lists(st.tuples(st.sampled_from("ab"), change_numbers), unique_by=lambda item: item[0])
    )
    def test_digest_does_not_depend_on_the_order(self, items: list[tuple[str, int]]) -> None:
        forward, backward = ContentDigest(), ContentDigest()
        for name, value in items:
            forward.add("adapters", name, value)
        for name, value in reversed(items):
            backward.add("adapters", name, value)
        self.assertEqual(forward.hex(), backward.hex())


def _without_empty(found: dict[str, Any], like: SiteConfig) -> dict[str, Any]:
    return {s: e for s, e in found.items() if e or s in like.entries}


class ClaimTest(unittest.TestCase):
    @example([("take", "attempt 1", 1), ("release", "attempt 2", 1), ("take", "attempt 3", 1)])
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["take", "done", "unknown", "release", "time", "snapshot"]),
                st.sampled_from(["attempt 1", "attempt 2", "attempt 3"]),
                st.integers(1, 60),
            ),
            max_size=30,
        )
    )
    def test_at_most_one_attempt_holds_a_claim_until_its_retention_is_over(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        state = ControlState()
        holder: str | None = None
        forget_ms = 0
        now_ms = 0
        for kind, attempt, ms in steps:
            match kind:
                case "take":
                    take = TakeClaim("caller", "key", "body", attempt, "gateway#1", 100)
                    taken = isinstance(_apply(state, take), ClaimTaken)
                    self.assertEqual(taken, holder in (None, attempt))
                    if holder is None:
                        holder, forget_ms = attempt, now_ms + 100
                case "done" | "unknown":
                    _apply(state, EndClaim("caller", "key", attempt, ClaimStatus(kind)))
                case "release":
                    _apply(state, EndClaim("caller", "key", attempt, None))
                    holder = None if holder == attempt else holder
                case "time":
                    now_ms += ms
                    _apply(state, AdvanceTime(ms))
                    holder = None if now_ms >= forget_ms else holder
                case "snapshot":
                    state = _restored(state)


class PermitTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 8)), max_size=40), st.integers(1, 4))
    def test_never_more_permits_than_allowed(
        self, steps: list[tuple[bool, int]], at_once: int
    ) -> None:
        state = ControlState()
        held: set[str] = set()
        for take, number in steps:
            permit_id = f"permit {number}"
            if take:
                outcome = _apply(state, TakePermit(permit_id, "gateway#1", at_once))
                expected = permit_id in held or len(held) < at_once
                self.assertIsInstance(outcome, PermitTaken if expected else NoPermit)
                if expected:
                    held.add(permit_id)
            else:
                _apply(state, EndPermit(permit_id))
                held.discard(permit_id)
            self.assertLessEqual(len(state.permits), at_once)
            self.assertEqual(set(state.permits), held)
