"""Validation of the merged configuration of a site."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from ..findings.finding import Finding
from ..findings.typed_document import to_typed
from .adapter import Adapter
from .caller import ALL, Caller
from .service import Service
from .typed_config import ENTRY_TYPES

Entries = dict[str, dict[str, Any]]
EntryKey = tuple[str, str]


def validate_site(
    site: str, entries: Entries, before: Entries, touched: Iterable[EntryKey]
) -> list[Finding]:
    """Return every finding on the merged `entries` of `site`; empty when they are valid.

    Only the touched entries, and those that refer to one of them, are checked: all others were
    valid before and have not changed.

    Parameters
    ----------
    entries, before : dict
        Entries by section and name, of the candidate and of the configuration in force.
    touched : iterable of (section, name)
        Entries that differ between the two.
    """
    findings: list[Finding] = []
    typed: dict[EntryKey, Any] = {}
    keys = list(touched)
    for section, name in _with_referrers(entries, keys):
        raw = entries.get(section, {}).get(name)
        if section not in ENTRY_TYPES or raw is None:
            continue
        checked = to_typed(ENTRY_TYPES[section], raw, f"{site}#/{section}/{name}")
        if checked.is_ok():
            typed[section, name] = checked.ok
        else:
            findings.extend(checked.error)
    for (_, name), entry in typed.items():
        findings.extend(_reference_findings(site, name, entry, entries))
    findings.extend(_changed_digest_findings(site, entries, before, keys))
    return findings


def _with_referrers(entries: Entries, keys: list[EntryKey]) -> list[EntryKey]:
    """Return the touched entries, and those whose validity depends on one of them."""
    found = dict.fromkeys(keys)
    services = {name for section, name in keys if section == "services"}
    if services:
        for name, raw in entries.get("adapters", {}).items():
            if isinstance(raw, dict) and raw.get("service") in services:
                found["adapters", name] = None
    gone = {(s, n) for s, n in keys if n not in entries.get(s, {})}
    if any(section in ("adapters", "services") for section, _ in gone):
        found.update((("callers", name), None) for name in entries.get("callers", {}))
    return list(found)


def _reference_findings(site: str, name: str, entry: Any, entries: Entries) -> Iterator[Finding]:
    match entry:
        case Adapter():
            yield from _adapter_findings(site, f"/adapters/{name}", entry, entries)
        case Caller():
            yield from _caller_findings(site, name, entry, entries)
        case Service(kind="plain"):
            yield from _path_findings(site, name, entry, entries)


def _adapter_findings(
    site: str, pointer: str, adapter: Adapter, entries: Entries
) -> Iterator[Finding]:
    services = entries.get("services", {})
    if _field_of(services.get(adapter.service), "kind") != "engine":
        engines = sorted(
            name for name, raw in services.items() if _field_of(raw, "kind") == "engine"
        )
        rule = f"must name an engine service; allowed: {engines}"
        yield Finding(site, f"{pointer}/service", rule, adapter.service)
    if adapter.default_version is not None and adapter.default_version not in adapter.versions:
        rule = f"must be one of the versions {sorted(adapter.versions)}"
        yield Finding(site, f"{pointer}/default_version", rule, adapter.default_version)


def _caller_findings(site: str, name: str, caller: Caller, entries: Entries) -> Iterator[Finding]:
    for section in ("adapters", "services"):
        for wanted in getattr(caller, section):
            if wanted != ALL and wanted not in entries.get(section, {}):
                rule = f"grants {section} that do not exist"
                yield Finding(site, f"/callers/{name}/{section}", rule, wanted)
    for other, raw in entries.get("callers", {}).items():
        if other != name and _field_of(raw, "key_sha256") == caller.key_sha256:
            rule = f"the caller {other!r} has the same key"
            yield Finding(site, f"/callers/{name}/key_sha256", rule)


def _path_findings(site: str, name: str, service: Service, entries: Entries) -> Iterator[Finding]:
    pointer = f"/services/{name}/path"
    if not service.path.startswith("/"):
        yield Finding(site, pointer, "a plain service needs a path that begins with /")
    for other, raw in entries.get("services", {}).items():
        if other != name and _field_of(raw, "path") == service.path:
            yield Finding(site, pointer, f"the service {other!r} has this path")


def _field_of(raw: Any, field: str) -> Any:
    return raw.get(field) if isinstance(raw, dict) else None


def _changed_digest_findings(
    site: str, entries: Entries, before: Entries, keys: list[EntryKey]
) -> Iterator[Finding]:
    # Without this rule a version could change its content under the same name, so that two callers
    # of one version get answers from different weights, and no audit can tell which.
    for section, name in keys:
        old = _field_of(before.get(section, {}).get(name), "versions")
        new = _field_of(entries.get(section, {}).get(name), "versions")
        if section != "adapters" or not isinstance(old, dict) or not isinstance(new, dict):
            continue
        for version, digest in old.items():
            if new.get(version, digest) != digest:
                rule = "the digest of an accepted version can't change; add a new version"
                pointer = f"/adapters/{name}/versions/{version}"
                yield Finding(site, pointer, rule, str(new[version]))
