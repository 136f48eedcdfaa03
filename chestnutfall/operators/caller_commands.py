"""`chestnutfallctl caller list|set-key|set-rate|remove`: keys and rate limits of callers."""

from __future__ import annotations

import argparse
import getpass
import sys

from ..requests import key_digest
from .entry_commands import base_entry, patch_base
from .exit_code import ExitCode
from .operator_session import CommandFailed, OperatorSession
from .output import show


async def caller_list(session: OperatorSession, args: argparse.Namespace) -> int:
    """List callers with their rate limits and the requests that each may send at once now."""
    view = await session.quotas()
    rows = ((one.name, one.per_s, f"{one.left:g}", one.short) for one in view.callers)
    columns = ("caller", "requests a second", "left at once", "asked for each")
    show(args.json, view.callers, columns, rows)
    return ExitCode.OK


async def caller_set_key(session: OperatorSession, args: argparse.Namespace) -> int:
    """Replace the key of a caller; its old key is refused once the change is in force.

    Raises
    ------
    CommandFailed
        When the new key is empty or the caller does not exist.
    """
    # A key given as an argument would appear in the shell history and in the process list, so it
    # is read from standard input or typed at a prompt.
    piped = not sys.stdin.isatty()
    key = sys.stdin.readline().strip() if piped else getpass.getpass("new key: ")
    if not key:
        raise CommandFailed(ExitCode.REFUSED, "a key has at least one character; found none")
    return await _change(session, args, {"key_sha256": key_digest(key)})


async def caller_set_rate(session: OperatorSession, args: argparse.Namespace) -> int:
    """Change the rate limit of a caller, which holds for all gateways together."""
    return await _change(session, args, {"rate_per_s": args.per_s})


async def caller_remove(session: OperatorSession, args: argparse.Namespace) -> int:
    """Remove a caller and so its key."""
    return await _change(session, args, None)


async def _change(
    session: OperatorSession, args: argparse.Namespace, entry: dict[str, object] | None
) -> int:
    # Fails for a caller that does not exist, which the patch would otherwise create.
    await base_entry(session, "callers", args.name)
    return await patch_base(session, args, "callers", args.name, entry)
