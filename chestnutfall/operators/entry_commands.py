"""`chestnutfallctl adapter|caller|upstream ...`: changes of single entries of the base layer."""

from __future__ import annotations

import argparse
from typing import Any

from ..config.caller import ALL
from ..config.layered_config import BASE_LAYER
from .config_commands import make_change
from .exit_code import ExitCode
from .operator_session import CommandFailed, OperatorSession
from .output import show

MAX_NAMES_SHOWN = 20
"""Names that an error lists; a deployment may have thousands of adapters."""


async def patch_base(
    session: OperatorSession, args: argparse.Namespace, section: str, name: str, entry: Any
) -> int:
    """Merge `entry` into one entry of the base layer; None removes that entry.

    Returns
    -------
    int
        Exit code of the command.
    """
    revision, _ = await session.layers()
    return await make_change(session, args, {BASE_LAYER: {section: {name: entry}}}, revision)


async def base_entry(session: OperatorSession, section: str, name: str) -> dict[str, Any]:
    """Return an entry of the base layer.

    Raises
    ------
    CommandFailed
        When the section has no entry of this name.
    """
    _, layers = await session.layers()
    entry = layers[BASE_LAYER].get(section, {}).get(name)
    if entry is None:
        known = ", ".join(sorted(layers[BASE_LAYER].get(section, {}))[:MAX_NAMES_SHOWN])
        raise CommandFailed(ExitCode.REFUSED, f"no {name!r} in {section}; there are: {known}")
    found: dict[str, Any] = entry
    return found


async def adapter_create(session: OperatorSession, args: argparse.Namespace) -> int:
    """Create an adapter with its first version.

    Raises
    ------
    CommandFailed
        When the adapter exists already.
    """
    _, layers = await session.layers()
    if args.name in layers[BASE_LAYER].get("adapters", {}):
        raise CommandFailed(ExitCode.REFUSED, f"{args.name} exists; use add-version")
    entry = {
        "service": args.service,
        "versions": {args.version: args.digest},
        "non_idempotent": args.non_idempotent,
    }
    return await patch_base(session, args, "adapters", args.name, entry)


async def adapter_add_version(session: OperatorSession, args: argparse.Namespace) -> int:
    """Add a version to an adapter, and make it the default with `--default`."""
    await base_entry(session, "adapters", args.name)
    entry: dict[str, Any] = {"versions": {args.version: args.digest}}
    if args.default:
        entry["default_version"] = args.version
    return await patch_base(session, args, "adapters", args.name, entry)


async def adapter_retire(session: OperatorSession, args: argparse.Namespace) -> int:
    """Remove one version of an adapter, or the whole adapter without `--version`."""
    await base_entry(session, "adapters", args.name)
    entry = {"versions": {args.version: None}} if args.version else None
    return await patch_base(session, args, "adapters", args.name, entry)


async def adapter_list(session: OperatorSession, args: argparse.Namespace) -> int:
    """List the adapters of the base layer with their versions."""
    _, layers = await session.layers()
    adapters = layers[BASE_LAYER].get("adapters", {})
    rows = ((n, a["service"], ", ".join(a["versions"])) for n, a in sorted(adapters.items()))
    show(args.json, adapters, ("adapter", "service", "versions"), rows)
    return ExitCode.OK


async def caller_grant(session: OperatorSession, args: argparse.Namespace) -> int:
    """Allow a caller to use adapters."""
    caller = await base_entry(session, "callers", args.name)
    adapters = sorted({*caller.get("adapters", []), *args.adapters})
    return await patch_base(session, args, "callers", args.name, {"adapters": adapters})


async def caller_revoke(session: OperatorSession, args: argparse.Namespace) -> int:
    """Withdraw a caller's permission to use adapters.

    Raises
    ------
    CommandFailed
        When the caller may use every adapter ("*") and only some are to be revoked.
    """
    caller = await base_entry(session, "callers", args.name)
    granted = caller.get("adapters", [])
    if ALL in granted and ALL not in args.adapters:
        message = f"{args.name} may reach every adapter; revoke '*' and grant the others"
        raise CommandFailed(ExitCode.REFUSED, message)
    adapters = [name for name in granted if name not in args.adapters]
    return await patch_base(session, args, "callers", args.name, {"adapters": adapters})


async def upstream_list(session: OperatorSession, args: argparse.Namespace) -> int:
    """List the upstreams that announce themselves, and the gateways that own engines."""
    status = await session.status()
    owners = {one.engine: one for one in status.owners}
    rows = (
        (
            (e.name, e.service, e.incarnation[:12], owners[e.name].owner, owners[e.name].epoch)
            if e.name in owners
            else (e.name, e.service, e.incarnation[:12], "", "")
        )
        for e in status.engines
    )
    columns = ("upstream", "service", "incarnation", "owner", "epoch")
    show(args.json, status.engines, columns, rows)
    return ExitCode.OK


async def upstream_drain(session: OperatorSession, args: argparse.Namespace) -> int:
    """Drain an upstream: it gets no new requests until `--undo`."""
    return await patch_base(session, args, "upstreams", args.name, {"drain": not args.undo})
