"""`chestnutfallctl`: the command line for operators."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from ..clock import SystemClock
from ..control.control_client import ControlClient
from ..operators import (
    ExitCode,
    OperatorSession,
    caller_commands,
    config_commands,
    entry_commands,
    host_commands,
)
from ..operators.operator_session import CommandFailed
from ..settings.operator_settings import OperatorSettings
from ..settings.reading import read_settings
from .event_loop import disable_io_uring

Command = Callable[[OperatorSession, argparse.Namespace], Awaitable[int]]
EXAMPLES = """examples:
  chestnutfallctl --settings ops.json status
  chestnutfallctl --settings ops.json config apply base.json --overlays sites/ --wait
  chestnutfallctl --settings ops.json adapter create tejas --service redactor-ia \\
      --version 1 --digest sha256:... --wait
  chestnutfallctl --settings ops.json config verify

exit codes: 0 done, 1 failed, 2 refused (findings are printed), 3 beaten by another change,
4 no controller answered (send it again with the printed change id), 5 not in force everywhere"""


def main() -> None:
    """Parse the command line, run one command and exit with its code."""
    args = _parser().parse_args()
    parsed = read_settings(OperatorSettings, args.settings)
    if parsed.is_error():
        for finding in parsed.error:
            print(finding, file=sys.stderr)
        sys.exit(ExitCode.REFUSED)
    disable_io_uring()
    try:
        key = Path(parsed.ok.key_file).read_text(encoding="utf-8").strip()
        sys.exit(asyncio.run(_run(parsed.ok, key, args)))
    except CommandFailed as exc:
        print(exc, file=sys.stderr)
        sys.exit(exc.code)


async def _run(settings: OperatorSettings, key: str, args: argparse.Namespace) -> int:
    tls = settings.tls.files() if settings.tls else None
    # Identifying a host asks that host alone, so it needs no session with the controllers.
    if args.command is host_commands.host_identify:
        return int(await host_commands.host_identify(args.address, tls))
    clock = SystemClock()
    client = ControlClient(settings.controllers, clock, tls)
    try:
        return int(await args.command(OperatorSession(client, key, clock), args))
    finally:
        await client.close()


def _parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="chestnutfallctl",
        description="Reads and changes the configuration of an office.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    top.add_argument("--settings", type=Path, required=True, help="JSON settings of the operator")
    top.add_argument("--json", action="store_true", help="JSON for scripts instead of tables")
    groups = top.add_subparsers(required=True, metavar="COMMAND")
    _command(groups, "status", host_commands.status, "the office at a glance")
    _add_config(_group(groups, "config", "check, change and read the configuration"))
    _add_adapter(_group(groups, "adapter", "adapters and their versions"))
    _add_caller(_group(groups, "caller", "what callers may reach"))
    _add_upstream(_group(groups, "upstream", "engines and plain services"))
    _add_host(_group(groups, "host", "controllers and gateways"))
    audit = _command(groups, "audit", config_commands.history, "every accepted change")
    _add_history_options(audit)
    return top


def _group(groups: Any, name: str, text: str) -> Any:
    return groups.add_parser(name, help=text).add_subparsers(required=True, metavar="ACTION")


def _command(group: Any, name: str, command: Any, text: str) -> argparse.ArgumentParser:
    cli: argparse.ArgumentParser = group.add_parser(name, help=text, description=text)
    cli.set_defaults(command=command)
    return cli


def _add_change_options(cli: argparse.ArgumentParser) -> None:
    cli.add_argument("--dry-run", action="store_true", help="validate and show, change nothing")
    cli.add_argument("--note", default="", help="why; kept in the audit")
    cli.add_argument("--change-id", help="send a change again whose answer was lost")
    cli.add_argument("--from-revision", type=int, help="refuse unless this is the newest")
    cli.add_argument("--wait", action="store_true", help="return when in force everywhere")
    cli.add_argument("--wait-ms", type=int, default=10_000, help="longest wait, ms")


def _add_config(group: Any) -> None:
    for name, command, text in (
        ("check", config_commands.check, "validate files, change nothing"),
        ("diff", config_commands.diff, "show what files would change"),
        ("apply", config_commands.apply, "make files the configuration"),
    ):
        cli = _command(group, name, command, text)
        cli.add_argument("base", type=Path, help="base file")
        cli.add_argument("--overlays", type=Path, help="folder with SITE.json for each site")
        if name == "apply":
            _add_change_options(cli)
    shown = _command(group, "show", config_commands.show_config, "print what is in force")
    shown.add_argument("--site", help="only what is in force at this data centre")
    _add_history_options(_command(group, "history", config_commands.history, "accepted changes"))
    verify = _command(group, "verify", config_commands.verify, "prove what is in force")
    verify.add_argument("--silent-ms", type=int, default=1500, help="older reports are problems")


def _add_history_options(cli: argparse.ArgumentParser) -> None:
    cli.add_argument("--after", type=int, default=0, help="only revisions after this")
    cli.add_argument("--patches", action="store_true", help="with what each changed")


def _add_adapter(group: Any) -> None:
    for name, command, text in (
        ("create", entry_commands.adapter_create, "create an adapter"),
        ("add-version", entry_commands.adapter_add_version, "add a version"),
        ("retire", entry_commands.adapter_retire, "retire a version or the adapter"),
    ):
        cli = _command(group, name, command, text)
        cli.add_argument("name")
        cli.add_argument("--version", required=name != "retire")
        if name != "retire":
            cli.add_argument("--digest", required=True, help="sha256:HEX of the weights")
        if name == "create":
            cli.add_argument("--service", required=True)
            cli.add_argument("--non-idempotent", action="store_true")
        if name == "add-version":
            cli.add_argument("--default", action="store_true")
        _add_change_options(cli)
    _command(group, "list", entry_commands.adapter_list, "list adapters")


def _add_caller(group: Any) -> None:
    for name, command in (
        ("grant", entry_commands.caller_grant),
        ("revoke", entry_commands.caller_revoke),
    ):
        cli = _command(group, name, command, f"{name} adapters")
        cli.add_argument("name")
        cli.add_argument("adapters", nargs="+")
        _add_change_options(cli)
    _command(group, "list", caller_commands.caller_list, "list callers and what is left of rates")
    key = _command(group, "set-key", caller_commands.caller_set_key, "read a new key from stdin")
    rate = _command(group, "set-rate", caller_commands.caller_set_rate, "change a caller's rate")
    remove = _command(group, "remove", caller_commands.caller_remove, "take a caller's key away")
    for cli in (key, rate, remove):
        cli.add_argument("name")
        _add_change_options(cli)
    rate.add_argument("--per-s", type=float, required=True, help="requests, through all gateways")


def _add_upstream(group: Any) -> None:
    _command(group, "list", entry_commands.upstream_list, "list upstreams")
    drain = _command(group, "drain", entry_commands.upstream_drain, "send it no new work")
    drain.add_argument("name")
    drain.add_argument("--undo", action="store_true")
    _add_change_options(drain)


def _add_host(group: Any) -> None:
    _command(group, "list", host_commands.host_list, "list controllers and gateways")
    identify = _command(group, "identify", host_commands.host_identify, "identity at an address")
    identify.add_argument("address")
    for action in ("add", "promote", "remove"):
        cli = _command(group, action, host_commands.host_change, f"{action} a controller")
        cli.set_defaults(action=action)
        cli.add_argument("replica_id")
        if action == "add":
            cli.add_argument("address")


if __name__ == "__main__":
    main()
