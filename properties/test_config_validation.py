"""Validation of a change by its changed entries alone.

The leader validates only the entries that a change touches and those that refer to them. The test
guards against an invalid configuration that this overlooks and validation of all entries finds.
"""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from chestnutfall.config.layered_config import BASE_LAYER, LayeredConfig
from chestnutfall.config.site_config import SiteConfig
from chestnutfall.config.validation import validate_site

DIGESTS = {name: name * 64 for name in "ab"}
adapter_entries = st.fixed_dictionaries(
    {"service": st.sampled_from(["s1", "s2"])},
    optional={
        "versions": st.dictionaries(
            st.sampled_from("12"), st.sampled_from([f"sha256:{h}" for h in DIGESTS.values()])
        ),
        "default_version": st.sampled_from(["1", "2", "3"]),
    },
)
service_entries = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["engine", "plain"]),
        "announce_key_sha256": st.just(DIGESTS["a"]),
        "path": st.sampled_from(["", "/p", "/q"]),
    }
)
caller_entries = st.fixed_dictionaries(
    {
        "key_sha256": st.sampled_from(list(DIGESTS.values())),
        "adapters": st.lists(st.sampled_from(["x", "y", "*"]), max_size=2),
        "services": st.lists(st.sampled_from(["s1", "s2"]), max_size=1),
    }
)
site_patches = st.fixed_dictionaries(
    {},
    optional={
        section: st.dictionaries(st.sampled_from(names), kind | st.none(), max_size=2)
        for section, names, kind in (
            ("adapters", ["x", "y"], adapter_entries),
            ("services", ["s1", "s2"], service_entries),
            ("callers", ["c", "d"], caller_entries),
        )
    },
)


class ValidationTest(unittest.TestCase):
    @given(st.lists(site_patches, min_size=1, max_size=4))
    def test_validating_changed_entries_finds_what_full_validation_finds(
        self, all_patches: list[Any]
    ) -> None:
        # The leader validates only changed entries and those that refer to them. An error that it
        # overlooks would be in force at every site before a gateway notices.
        layers = LayeredConfig({BASE_LAYER: {"sites": {"one": {}}}})
        for patch in all_patches:
            present = SiteConfig("one", layers)
            candidate = layers.copy_for({BASE_LAYER: patch})
            touched = candidate.apply({BASE_LAYER: patch})
            entries = present.entries_with(candidate, touched)
            whole = SiteConfig("one", candidate)
            self.assertEqual(
                {s: e for s, e in entries.items() if e},
                {s: e for s, e in whole.entries.items() if e},
            )
            incremental = validate_site("one", entries, present.entries, touched)
            everything = list(candidate.names("one"))
            expected = validate_site("one", whole.entries, present.entries, everything)
            self.assertEqual(bool(incremental), bool(expected))
            self.assertLessEqual(set(incremental), set(expected))
            if not incremental:
                layers = candidate
