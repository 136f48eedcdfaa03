"""`chestnutfall-controller`: runs one replica of the replicated control state."""

from __future__ import annotations

import asyncio
import logging
import random
from pathlib import Path
from typing import Any

from ..clock import SystemClock
from ..consensus import Member, Replica, Timing
from ..consensus.disk_folder import DiskFolder, FolderInUse
from ..consensus.disk_identity import assign_new_identity, bootstrap_founder, read_identity
from ..consensus.file_storage import FileStorage
from ..consensus.frame import CorruptFile
from ..consensus.messages import CONSENSUS_CODEC
from ..control.control_client import METHOD as CONTROL_METHOD
from ..control.control_service import ControlService
from ..control.control_state import ControlState
from ..control.leader_duties import LeaderDuties
from ..control.messages import CONTROL_CODEC
from ..control.rpc_transport import METHOD as CONSENSUS_METHOD
from ..control.rpc_transport import RpcTransport
from ..observability.json_logs import start_logs
from ..settings.controller_settings import ControllerSettings
from ..wire import RpcServer, TlsFiles
from .command_line import load_settings, make_parser
from .event_loop import run

log = logging.getLogger(__name__)
EXIT_STORAGE = 3
"""Exit code when the data folder can't be used, or the replica stopped because of a failure."""


def main() -> None:
    """Parse the command line and run one controller until SIGTERM or SIGINT."""
    cli = make_parser(
        "chestnutfall-controller",
        "Keeps one replica of the configuration, ownership and claims of an office.",
    )
    cli.add_argument(
        "--bootstrap",
        action="store_true",
        help="make the first replica of a new office from `first_members`; the data folder must "
        "be empty. Never use it for a host that lost its disk: add that one as a new member.",
    )
    args = cli.parse_args()
    settings = load_settings(ControllerSettings, args)
    start_logs(settings.observability.log_level, "controller", settings.name)
    run(lambda stop: _serve(settings, args.bootstrap, stop))


async def _serve(settings: ControllerSettings, bootstrap: bool, stop: asyncio.Event) -> int:
    """Run the replica until `stop` is set or the replica fails; return the exit code."""
    try:
        folder = DiskFolder(Path(settings.data_folder))
        storage = FileStorage(folder)
        replica_id = await _load_or_create_identity(settings, bootstrap, folder, storage)
    except (FolderInUse, FileExistsError, CorruptFile, OSError) as exc:
        log.error("storage: %s", exc)
        return EXIT_STORAGE
    clock = SystemClock()
    state = ControlState()
    tls = settings.tls.files() if settings.tls else None
    transport = RpcTransport(tls)
    replica = Replica(replica_id, storage, state, transport, clock, random.Random(), Timing())
    try:
        replica.start()
    except CorruptFile as exc:
        log.error("storage: %s", exc)
        return EXIT_STORAGE
    duties = LeaderDuties(replica, state, clock)
    service = ControlService(replica, state, duties, clock, settings.admin_key_sha256)
    server = _make_server(settings, tls, replica, service)
    await server.start()
    log.info("control: %s listens on %s", replica_id, settings.listen)
    duties_task = asyncio.ensure_future(duties.run())
    replica.failed.add_done_callback(lambda _: stop.set())
    await stop.wait()
    failed = replica.failed.done()
    if failed:
        log.error("control: stopping, this replica failed: %r", replica.failed.result())
    else:
        await replica.transfer_leadership()
    duties_task.cancel()
    await server.stop()
    await replica.stop()
    await transport.close()
    folder.close()
    return EXIT_STORAGE if failed else 0


def _make_server(
    settings: ControllerSettings, tls: TlsFiles | None, replica: Replica, service: ControlService
) -> RpcServer:
    """Return a server, not yet started, for messages of other replicas and of control clients."""

    async def on_consensus(msg: Any, context: Any) -> Any:
        return await replica.handle(msg)

    async def on_control(msg: Any, context: Any) -> Any:
        return await service.handle(msg)

    server = RpcServer(settings.listen, tls)
    server.add_unary(CONSENSUS_METHOD, CONSENSUS_CODEC, on_consensus)
    server.add_unary(CONTROL_METHOD, CONTROL_CODEC, on_control)
    return server


async def _load_or_create_identity(
    settings: ControllerSettings, bootstrap: bool, folder: DiskFolder, storage: FileStorage
) -> str:
    """Return the replica's id; an empty data folder first gets a new one.

    Raises
    ------
    FileExistsError
        When `bootstrap` is set and the data folder is not empty.
    """
    if bootstrap:
        if not storage.is_empty:
            raise FileExistsError("--bootstrap requires an empty data folder")
        members = tuple(Member(one.name, one.address) for one in settings.first_members)
        await bootstrap_founder(folder, storage, settings.name, members)
    elif storage.is_empty:
        new_id = await assign_new_identity(folder, storage, settings.name)
        log.warning("control: empty data folder, waiting to be added as %s", new_id)
    return read_identity(folder)


if __name__ == "__main__":
    main()
