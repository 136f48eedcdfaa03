"""`chestnutfallctl status|host ...`: the state of the deployment and its hosts."""

from __future__ import annotations

import argparse

from ..clock import SystemClock
from ..consensus import Member
from ..consensus.messages import TakeOver, WrongReplica
from ..control.rpc_transport import RpcTransport
from ..wire import TlsFiles
from .exit_code import ExitCode
from .operator_session import OperatorSession
from .output import show

IDENTIFY_TIMEOUT_MS = 2000


async def status(session: OperatorSession, args: argparse.Namespace) -> int:
    """Print a summary of the deployment's state."""
    view = await session.status()
    rows = [
        ("leader", view.leader),
        ("term", view.term),
        ("committed entries", view.commit_index),
        ("configuration revision", view.revision),
        ("audit hash", view.chain_hash),
        ("claims remembered", view.claims),
        ("loads permitted now", view.permits),
        ("controllers", len(view.members)),
        ("gateways", len(view.gateways)),
        ("upstreams", len(view.engines)),
        # Of this host's clock: milliseconds since its boot.
        ("time", SystemClock().now_ms()),
    ]
    show(args.json, view, ("what", "value"), rows)
    return ExitCode.OK


async def host_list(session: OperatorSession, args: argparse.Namespace) -> int:
    """List controllers and live gateways."""
    view = await session.status()
    rows = [
        (m.replica_id, "voter" if m.voter else "learner", m.address, m.match_index, m.heard_ms_ago)
        for m in view.members
    ]
    rows += [
        (g.session, f"gateway, {g.site}", g.address, g.revision, g.heard_ms_ago)
        for g in view.gateways
    ]
    columns = ("host", "role", "address", "log index or revision", "heard ms ago")
    show(args.json, {"controllers": view.members, "gateways": view.gateways}, columns, rows)
    return ExitCode.OK


async def host_identify(address: str, tls: TlsFiles | None) -> int:
    """Print the replica id of the controller at an address.

    The controller is asked directly, since a new one is not yet a member and no leader knows its
    id. Any message for another replica makes it answer with its own id; this one is addressed to
    the empty id.
    """
    transport = RpcTransport(tls)
    msg = TakeOver("", "", 0)
    reply = await transport.call(Member("", address), msg, IDENTIFY_TIMEOUT_MS)
    await transport.close()
    if isinstance(reply, WrongReplica):
        print(reply.replica_id)
    return ExitCode.OK


async def host_change(session: OperatorSession, args: argparse.Namespace) -> int:
    """Add a controller as learner, promote a learner to voter, or remove a controller."""
    await session.member(args.action, args.replica_id, getattr(args, "address", "") or "")
    print(f"{args.action} of {args.replica_id} is in the log")
    return ExitCode.OK
