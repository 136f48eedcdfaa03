"""`chestnutfallctl config ...` and `audit`: the configuration and its history."""

from __future__ import annotations

import argparse
import json
import sys
import uuid
from pathlib import Path
from typing import Any

from ..config.layered_config import BASE_LAYER, site_layer
from ..config.merge_diff import merge_diff
from ..control.audit_record import FIRST_HASH, AuditRecord
from ..findings.json_document import read_json
from .exit_code import ExitCode
from .operator_session import CommandFailed, OperatorSession
from .output import show


def read_files(base: Path, overlays: Path | None) -> dict[str, Any]:
    """Read the layers of a configuration from files.

    Parameters
    ----------
    base : Path
        File of the base layer.
    overlays : Path or None
        Folder with one `SITE.json` for each data centre that has an overlay.

    Returns
    -------
    dict of str to Any
        Content of each layer by its name.

    Raises
    ------
    CommandFailed
        When files are invalid; the message holds the findings of all files.
    """
    files = {BASE_LAYER: base}
    for path in sorted(overlays.glob("*.json")) if overlays else ():
        files[site_layer(path.stem)] = path
    layers: dict[str, Any] = {}
    findings: list[str] = []
    for layer, path in files.items():
        parsed = read_json(path)
        if parsed.is_error():
            findings.extend(map(str, parsed.error))
        elif not isinstance(parsed.ok, dict):
            findings.append(f"{path}#: must be an object of sections")
        else:
            layers[layer] = parsed.ok
    if findings:
        raise CommandFailed(ExitCode.REFUSED, "\n".join(findings))
    return layers


def patches_between(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """Return the patch of each layer that turns layers `before` into `after`."""
    patches: dict[str, Any] = {}
    for layer in sorted({*before, *after}):
        old, new = before.get(layer, {}), after.get(layer, {})
        patch = _base_patch(old, new) if layer == BASE_LAYER else _overlay_patch(old, new)
        if patch:
            patches[layer] = patch
    return patches


def _base_patch(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    patch = {s: merge_diff(old.get(s, {}), new.get(s, {})) for s in sorted({*old, *new})}
    return {section: entries for section, entries in patch.items() if entries}


def _overlay_patch(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the changed entries whole; an entry that `new` lacks becomes an empty object."""
    patch: dict[str, Any] = {}
    for section in sorted({*old, *new}):
        before, after = old.get(section, {}), new.get(section, {})
        changed = {
            n: after.get(n, {}) for n in {*before, *after} if before.get(n, {}) != after.get(n, {})
        }
        if changed:
            patch[section] = changed
    return patch


async def check(session: OperatorSession, args: argparse.Namespace) -> int:
    """Validate files against the configuration in force, without changing it."""
    revision, before = await session.layers()
    patches = patches_between(before, read_files(args.base, args.overlays))
    await session.change(patches, revision, "", "", dry_run=True)
    print(f"valid; {len(patches)} layers would change from revision {revision}")
    return ExitCode.OK


async def diff(session: OperatorSession, args: argparse.Namespace) -> int:
    """Print the patches that applying the files would make."""
    revision, before = await session.layers()
    patches = patches_between(before, read_files(args.base, args.overlays))
    print(json.dumps({"from_revision": revision, "patches": patches}, indent=2))
    return ExitCode.OK


async def apply(session: OperatorSession, args: argparse.Namespace) -> int:
    """Replace the configuration by that of the files."""
    revision, before = await session.layers()
    patches = patches_between(before, read_files(args.base, args.overlays))
    if not patches:
        print(f"nothing to change; revision {revision} is the same")
        return ExitCode.OK
    return await make_change(session, args, patches, revision)


async def make_change(
    session: OperatorSession, args: argparse.Namespace, patches: dict[str, Any], revision: int
) -> int:
    """Make a change, or only validate it with `--dry-run`.

    With `--wait`, waits until the change is in force at every live gateway. The change id is
    printed before the change is sent: an operator who gets no answer sends the same change again
    under this id, and it takes effect at most once.

    Parameters
    ----------
    revision : int
        Revision that the patches were computed from; `--from-revision` overrides it. The change
        is refused if the configuration has another revision by then.
    """
    if args.from_revision is not None:
        revision = args.from_revision
    if args.dry_run:
        await session.change(patches, revision, args.note, "", dry_run=True)
        print(json.dumps({"from_revision": revision, "patches": patches}, indent=2))
        return ExitCode.OK
    change_id = args.change_id or uuid.uuid4().hex
    print(f"change id {change_id}", file=sys.stderr)
    made = await session.change(patches, revision, args.note, change_id, dry_run=False)
    print(f"revision {made} accepted")
    if not args.wait:
        return ExitCode.OK
    missing = await session.wait_in_force(made, args.wait_ms)
    for line in missing:
        print(f"not in force: {line}")
    if not missing:
        print(f"revision {made} in force at every live gateway")
    return ExitCode.NOT_IN_FORCE if missing else ExitCode.OK


async def show_config(session: OperatorSession, args: argparse.Namespace) -> int:
    """Print all layers, or the merged configuration in force at one data centre."""
    if args.site:
        view = await session.site(args.site)
        document = json.loads(view.document)
        print(
            json.dumps(
                {"revision": view.revision, "digest": view.digest, "in_force": document}, indent=2
            )
        )
    else:
        revision, layers = await session.layers()
        print(json.dumps({"revision": revision, "layers": layers}, indent=2))
    return ExitCode.OK


async def history(session: OperatorSession, args: argparse.Namespace) -> int:
    """List accepted changes from the audit log."""
    records = (await session.audit(args.after)).records
    rows = (
        (
            r.revision,
            r.change.at_ms,
            r.change.operator,
            r.change.from_revision,
            r.change.note,
            r.change.patches if args.patches else "",
            r.chain_hash[:16],
        )
        for r in records
    )
    columns = ("revision", "at ms", "operator", "from", "note", "patches", "hash")
    show(args.json, records, columns, rows)
    return ExitCode.OK


async def verify(session: OperatorSession, args: argparse.Namespace) -> int:
    """Verify the hash chain of the audit log and the configuration of every live gateway.

    A gateway is a problem if its revision or digest is not the expected one, or if its last
    heartbeat is older than `--silent-ms`.
    """
    status = await session.status()
    problems = list(_chain_problems((await session.audit(0)).records))
    for gateway in status.gateways:
        if gateway.revision != status.revision or gateway.digest != gateway.expected_digest:
            problems.append(
                f"{gateway.session}: revision {gateway.revision}, digest {gateway.digest[:16]}, "
                f"expected {status.revision}, {gateway.expected_digest[:16]}"
            )
        if gateway.heard_ms_ago > args.silent_ms:
            problems.append(f"{gateway.session}: no heartbeat for {gateway.heard_ms_ago} ms")
    rows = ((g.session, g.site, g.revision, g.digest[:16], g.heard_ms_ago) for g in status.gateways)
    columns = ("gateway", "data centre", "revision", "digest", "heard ms ago")
    show(args.json, status.gateways, columns, rows)
    for problem in problems:
        print(f"problem: {problem}")
    return ExitCode.NOT_IN_FORCE if problems else ExitCode.OK


def _chain_problems(records: tuple[AuditRecord, ...]) -> list[str]:
    """Return a problem for each record with a wrong hash, predecessor or revision."""
    problems = []
    previous = FIRST_HASH
    for number, record in enumerate(records, start=1):
        is_valid = record.has_valid_hash() and record.previous_hash == previous
        if not is_valid or record.revision != number:
            problems.append(f"audit record {number} does not fit the chain")
        previous = record.chain_hash
    return problems
