"""Checks of a document that concern more than one field."""

from __future__ import annotations

from collections.abc import Iterator

from ..findings.finding import Finding
from .document import Document
from .organisation import Organisation
from .quota import Quota

DOCUMENT_NAME = "document"


def check_document(document: Document) -> Iterator[Finding]:
    """Yield a finding for every rule that `document` breaks; none when it is valid."""
    services = {service.name for service in document.services}
    names_by_match: dict[tuple[str, str], str] = {}
    for index, route in enumerate(document.routes):
        pointer = f"/routes/{index}"
        for target in route.targets:
            if target.service not in services:
                rule = f"must name one of the {len(services)} services of this document"
                yield Finding(DOCUMENT_NAME, pointer, rule, target.service)
        weights = [target.weight for target in route.targets]
        if min(weights, default=0) < 0 or sum(weights) <= 0:
            yield Finding(
                DOCUMENT_NAME, pointer, "weights must not be negative, nor all 0", str(weights)
            )
        if route.timeout_ms <= 0:
            yield Finding(
                DOCUMENT_NAME, pointer, "the timeout must be over 0 ms", str(route.timeout_ms)
            )
        matched = (route.host, route.path_prefix)
        if matched in names_by_match:
            rule = f"host and prefix must be unique; {names_by_match[matched]} has them too"
            yield Finding(DOCUMENT_NAME, pointer, rule, "".join(matched))
        names_by_match[matched] = route.name
    yield from _check_organisations(document.organisations)


def _check_organisations(organisations: tuple[Organisation, ...]) -> Iterator[Finding]:
    names: set[str] = set()
    holders: dict[str, str] = {}
    for index, organisation in enumerate(organisations):
        pointer = f"/organisations/{index}"
        name = organisation.name
        if not name.isascii() or not name.isprintable() or not name.strip():
            # The name is sent to upstreams in a header, where a line break would start another one.
            yield Finding(DOCUMENT_NAME, pointer, "the name must be printable ASCII", repr(name))
        if name in names:
            yield Finding(DOCUMENT_NAME, pointer, "the name must be unique", name)
        names.add(name)
        for key_index, digest in enumerate(organisation.key_digests):
            holder = holders.setdefault(digest, name)
            if holder != name:
                # Findings are logged, so they must not contain the key, which is a secret.
                rule = f"a key must have one holder; {holder} has it too"
                yield Finding(DOCUMENT_NAME, f"{pointer}/keys/{key_index}", rule, name)
        yield from _check_quota(pointer, organisation.quota)


def _check_quota(pointer: str, quota: Quota) -> Iterator[Finding]:
    figures = {"rate": quota.per_s, "burst": quota.burst, "plain tokens": quota.plain_tokens}
    for figure, value in figures.items():
        if not 0 <= value < float("inf"):
            rule = f"the {figure} must be a number of 0 or more"
            yield Finding(DOCUMENT_NAME, f"{pointer}/quota", rule, str(value))
