"""Base configuration and the overlays of sites."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import json_merge_patch

from ..findings.finding import Finding

BASE_LAYER = "base"
SECTIONS = (
    "services",
    "adapters",
    "callers",
    "operators",
    "limits",
    "policy",
    "sites",
    "upstreams",
)
_SITE_PREFIX = "site:"
Touched = frozenset[tuple[str, str]]


def site_layer(site: str) -> str:
    """Return the name of the overlay layer of `site`."""
    return f"{_SITE_PREFIX}{site}"


def check_patch(layer: str, patch: Any) -> Iterator[Finding]:
    """Yield a finding for each reason why `patch` cannot be applied to `layer`.

    A layer is an object of sections, and a section an object of named entries, so that the effect
    of a change can be computed from the entries it names.
    """
    if layer != BASE_LAYER and not layer.startswith(_SITE_PREFIX):
        yield Finding(layer, "", f"layer must be {BASE_LAYER!r} or {_SITE_PREFIX}NAME")
    if not isinstance(patch, dict):
        yield Finding(layer, "", "must be an object of sections", repr(patch)[:60])
        return
    for section, entries in patch.items():
        if section not in SECTIONS:
            yield Finding(layer, f"/{section}", f"unknown section; allowed: {', '.join(SECTIONS)}")
        elif not isinstance(entries, dict):
            yield Finding(layer, f"/{section}", "must be an object of entries", repr(entries)[:60])


class LayeredConfig:
    """The base layer and the overlay of each site, as accepted.

    The base is changed by merge patches (RFC 7396). An overlay is itself such a patch and may hold
    null, which a patch of an overlay could not express. A change of an overlay therefore gives the
    complete new entry: an object or null to merge over the base's entry, or `{}` for no overlay.

    Attributes
    ----------
    layers : dict
        Entries by layer, section and name.
    """

    def __init__(self, layers: dict[str, Any] | None = None) -> None:
        self.layers: dict[str, dict[str, dict[str, Any]]] = layers or {}
        self.layers.setdefault(BASE_LAYER, {})

    @property
    def sites(self) -> tuple[str, ...]:
        """Names of all data centres, sorted; they are the entries of the section `sites`."""
        return tuple(sorted(self.layers[BASE_LAYER].get("sites", {})))

    def copy_for(self, patches: dict[str, Any]) -> LayeredConfig:
        """Return a copy on which `patches` can be applied without a change of this one.

        Sections that the patches do not touch are shared between the two.
        """
        layers = dict(self.layers)
        for layer, patch in patches.items():
            layers[layer] = dict(layers.get(layer, {}))
            for section in patch:
                layers[layer][section] = dict(layers[layer].get(section, {}))
        return LayeredConfig(layers)

    def apply(self, patches: dict[str, Any]) -> Touched:
        """Apply patches, given by layer; return section and name of each entry they touch."""
        touched: set[tuple[str, str]] = set()
        for layer, patch in patches.items():
            document = self.layers.setdefault(layer, {})
            for section, entries in patch.items():
                merged = document.setdefault(section, {})
                for name, entry in entries.items():
                    touched.add((section, name))
                    if layer == BASE_LAYER:
                        _merge_entry(merged, name, entry)
                    else:
                        _replace_overlay(merged, name, entry)
        return frozenset(touched)

    def merged_entry(self, site: str, section: str, name: str) -> Any:
        """Return the entry in force at `site`: the base's with the overlay merged over it.

        None when there is no such entry, or the overlay removes it.
        """
        entry = self.layers[BASE_LAYER].get(section, {}).get(name)
        overlay = self.layers.get(site_layer(site), {}).get(section, {})
        if name not in overlay:
            return entry
        if overlay[name] is None:
            return None
        return json_merge_patch.merge(copy.deepcopy(entry or {}), overlay[name])

    def names(self, site: str) -> Iterator[tuple[str, str]]:
        """Yield section and name of every entry that the base or the overlay of `site` has."""
        seen: dict[tuple[str, str], None] = {}
        for layer in (BASE_LAYER, site_layer(site)):
            for section, entries in self.layers.get(layer, {}).items():
                seen.update(((section, name), None) for name in entries)
        yield from seen


def _merge_entry(merged: dict[str, Any], name: str, entry: Any) -> None:
    if entry is None:
        merged.pop(name, None)
        return
    before = copy.deepcopy(merged.get(name, {}))
    merged[name] = json_merge_patch.merge(before, entry)


def _replace_overlay(overlay: dict[str, Any], name: str, entry: Any) -> None:
    if entry == {}:
        overlay.pop(name, None)
    else:
        overlay[name] = entry
