"""Whether the merged configuration of a site can be in force."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from ..findings import Finding, to_typed
from .adapter import Adapter
from .caller import ALL, Caller
from .service import Service
from .typed_config import ENTRY_TYPES

Entries = dict[str, dict[str, Any]]


def validate_site(site: str, entries: Entries, before: Entries) -> list[Finding]:
    """Return everything wrong with the merged `entries` of `site`.

    Parameters
    ----------
    entries, before : dict
        Sections of the candidate and of the configuration now in force.
    """
    findings: list[Finding] = []
    typed: dict[str, dict[str, Any]] = {section: {} for section in ENTRY_TYPES}
    for section, checker in ENTRY_TYPES.items():
        for name, raw in entries.get(section, {}).items():
            place = f"{site}#/{section}/{name}"
            match to_typed(checker, raw, place):
                case checked if checked.is_ok():
                    typed[section][name] = checked.ok
                case failed:
                    findings.extend(failed.error)
    findings.extend(_references(site, typed))
    findings.extend(_kept_digests(site, entries, before))
    return findings


def _references(site: str, typed: dict[str, dict[str, Any]]) -> Iterator[Finding]:
    services: dict[str, Service] = typed["services"]
    adapters: dict[str, Adapter] = typed["adapters"]
    callers: dict[str, Caller] = typed["callers"]
    for name, adapter in adapters.items():
        yield from _adapter_findings(f"/adapters/{name}", site, adapter, services)
    for name, caller in callers.items():
        known: dict[str, dict[str, Any]] = {"adapters": adapters, "services": services}
        for section, allowed in known.items():
            for wanted in getattr(caller, section):
                if wanted != ALL and wanted not in allowed:
                    rule = f"grants {section} that do not exist"
                    yield Finding(site, f"/callers/{name}/{section}", rule, wanted)
    uses = Counter(caller.key_sha256 for caller in callers.values())
    for name, caller in callers.items():
        if uses[caller.key_sha256] > 1:
            yield Finding(site, f"/callers/{name}/key_sha256", "another caller has the same key")
    paths = [service.path for service in services.values() if service.kind == "plain"]
    for name, service in services.items():
        if service.kind == "plain" and not service.path.startswith("/"):
            rule = "a plain service needs a path that begins with /"
            yield Finding(site, f"/services/{name}/path", rule, repr(service.path))
        elif service.kind == "plain" and paths.count(service.path) > 1:
            yield Finding(site, f"/services/{name}/path", "another service has this path")


def _adapter_findings(
    pointer: str, site: str, adapter: Adapter, services: dict[str, Service]
) -> Iterator[Finding]:
    service = services.get(adapter.service)
    if service is None or service.kind != "engine":
        allowed = sorted(name for name, one in services.items() if one.kind == "engine")
        rule = f"must name an engine service; allowed: {allowed}"
        yield Finding(site, f"{pointer}/service", rule, adapter.service)
    if adapter.default_version is not None and adapter.default_version not in adapter.versions:
        rule = f"must be one of the versions {sorted(adapter.versions)}"
        yield Finding(site, f"{pointer}/default_version", rule, adapter.default_version)


def _kept_digests(site: str, entries: Entries, before: Entries) -> Iterator[Finding]:
    # A version that changes its content under the same name can't be audited. Symptom: two
    # callers that named the same version got answers from different weights.
    for name, raw in before.get("adapters", {}).items():
        now = entries.get("adapters", {}).get(name)
        versions = now.get("versions") if isinstance(now, dict) else None
        if not isinstance(versions, dict):
            continue
        for version, digest in raw.get("versions", {}).items():
            if versions.get(version, digest) != digest:
                rule = "the digest of an accepted version can't change; add a new version"
                pointer = f"/adapters/{name}/versions/{version}"
                yield Finding(site, pointer, rule, str(versions[version]))
