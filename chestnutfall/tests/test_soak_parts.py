"""Parts of the soak that could make a sound program look faulty."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from soak.daemon import Daemon
from soak.disturbances import Disturbances
from soak.harm import links_cut
from soak.office import Office
from soak.power_loss import PowerLoss
from soak.relay import PEERS_FILE, ConnectionFault, Relay
from soak.signal_episodes import SignalEpisodes
from soak.verdict import Verdict

from ..platform.standin.node_writer import NodePlan
from ..platform.standin.signal_history import Arrival, BackoffRefusal
from ..wire.resets import reset

ROOT = Path(__file__).resolve().parents[2]
SIGNALLED = """
import os, signal, sys
from soak import cut_off_launch

class Links:
    def install():
        os.kill(os.getpid(), signal.SIGHUP)
        print("installed")

class Program:
    def main():
        print("started")

sys.modules["soak.cut_links"] = Links
sys.modules["chestnutfall.platform.gateway"] = Program
sys.argv = ["launch", "gateway"]
cut_off_launch.main()
"""


class CutOffLaunchTest(unittest.TestCase):
    # Guards against a gateway that a reload ends since the soak's launcher imports libraries first.
    def test_sighup_during_the_imports_does_not_end_a_gateway(self) -> None:
        command = [sys.executable, "-c", SIGNALLED]
        done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.assertEqual((done.returncode, done.stdout), (0, "installed\nstarted\n"))

    def test_libraries_are_imported_after_the_signal_is_ignored(self) -> None:
        code = "import sys; from soak import cut_off_launch; print('aiohttp' in sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        self.assertEqual(done.stdout, "False\n")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a connection that lives on without the bytes of a cut, which TCP does not do: a
    # gateway took an extra answer for the one that was dropped.
    async def test_bytes_that_a_cut_held_up_arrive_after_it(self) -> None:
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        relay = Relay(f"127.0.0.1:{port}")
        await relay.start()
        host, _, relay_port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(relay_port))
        ip = writer.get_extra_info("sockname")[0]
        for number, cut in enumerate((ConnectionFault.NONE, ConnectionFault.SILENCE)):
            relay.cut[ip] = cut
            writer.write(b"%d" % number)
        await asyncio.sleep(0.1)
        relay.cut.pop(ip)
        writer.write(b"2")
        self.assertEqual(await asyncio.wait_for(reader.readexactly(3), 5), b"012")
        writer.close()
        await relay.stop()
        server.close()

    # Guards against a gateway that is blamed for a part of an answer: an answer without a length is
    # whole at an end of file, so what the stand-ins break off must be reset, also by a relay.
    async def test_a_reset_is_passed_on_as_a_reset(self) -> None:
        server = await asyncio.start_server(_write_and_reset, "127.0.0.1", 0)
        relay = Relay(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await relay.start()
        host, _, port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.assertEqual(await asyncio.wait_for(reader.readexactly(4), 5), b"part")
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await relay.stop()
        server.close()

    # Guards against a gateway that is blamed for a part of an answer without a length: a silent
    # connection drops its bytes, and passes no end of file on either.
    async def test_a_silent_connection_passes_no_end_of_file_on(self) -> None:
        server = await asyncio.start_server(_write_and_close, "127.0.0.1", 0)
        relay = Relay(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await relay.start()
        host, _, port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.assertEqual(await asyncio.wait_for(reader.readexactly(4), 5), b"part")
        relay.fault = ConnectionFault.SILENCE_ANSWERS
        reading = asyncio.ensure_future(reader.read())
        await asyncio.sleep(0.2)
        self.assertFalse(reading.done())
        relay.fault = ConnectionFault.NONE
        relay.reset_all()
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reading, 5)
        writer.close()
        await relay.stop()
        server.close()

    # Guards against a silence that is a fault: what a held link delays is passed on, also an end.
    async def test_a_held_link_passes_bytes_and_the_end_on_afterwards(self) -> None:
        server = await asyncio.start_server(_write_and_close, "127.0.0.1", 0)
        relay = Relay(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await relay.start()
        host, _, port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.assertEqual(await asyncio.wait_for(reader.readexactly(4), 5), b"part")
        with relay.holding(writer.get_extra_info("sockname")[0]):
            reading = asyncio.ensure_future(reader.read())
            await asyncio.sleep(0.2)
            self.assertFalse(reading.done())
        self.assertEqual(await asyncio.wait_for(reading, 5), b"rest")
        writer.close()
        await relay.stop()
        server.close()


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a silence of a helper or leader that holds nothing, since gateways don't use
    # the relays.
    async def test_a_gateway_reaches_each_other_daemon_through_a_relay_of_its_own(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            office = Office(Path(folder), random.Random(1))
            await office.peer_links.start()
            files = [
                json.loads((Path(folder) / f"g{at}" / PEERS_FILE).read_text()) for at in (0, 1)
            ]
            await office.peer_links.stop()
        self.assertEqual([len(one) for one in files], [5, 5])
        self.assertEqual(len({*files[0].values(), *files[1].values()}), 10)
        for at, gateway in enumerate(office.gateways[:2]):
            targets = {address.partition(":")[0] for address in files[at]}
            everyone = {one.plan.ip for one in (*office.controllers, *office.gateways)}
            self.assertEqual(targets, everyone - {gateway.plan.ip})


class PowerLossTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a loss in which a process outlives the others and keeps what they lost.
    async def test_all_processes_are_killed_before_one_disk_is_lost_and_any_starts(self) -> None:
        done: list[tuple[str, str]] = []
        with tempfile.TemporaryDirectory() as folder:
            office = Office(Path(folder), random.Random(1))
            office.controllers = [_RecordedDaemon(f"c{at}", done) for at in range(3)]
            office.gateways = [_RecordedDaemon(f"g{at}", done) for at in range(3)]
            joined = await PowerLoss(office, office.disturbances).play(random.Random(2))
        whats = [what for what, _ in done]
        self.assertEqual(whats, ["kill"] * 6 + ["wipe"] + ["start"] * 6)
        self.assertEqual(len(joined), 1)


class _RecordedDaemon(Daemon):
    """Records what is done to it, and starts nothing."""

    def __init__(self, name: str, done: list[tuple[str, str]]) -> None:
        self.plan = NodePlan("127.0.0.1", name, "", (), False)
        self._done = done

    async def kill(self) -> None:
        self._done.append(("kill", self.plan.name))

    async def start(self, first_start: bool) -> None:
        self._done.append(("start", self.plan.name))

    def wipe_disk(self) -> None:
        self._done.append(("wipe", self.plan.name))

    def log_text(self) -> str:
        return "joining as c0-1"


class SignalEpisodesTest(unittest.TestCase):
    # Guards against a gateway that is blamed for requests that a cut of its links held up: they
    # were sent before the refusal, which reached it through a helper.
    def test_requests_of_a_gateway_whose_links_were_cut_are_no_violation(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            office = Office(Path(folder), random.Random(1))
        disturbances = Disturbances()
        disturbances.record(links_cut("g0"), 99.0, 100.2)
        history = office.run_registry.signals_of("i1")
        for gateway in ("g0", "g1"):
            history.backoff_refusals.append(BackoffRefusal(100.0, gateway, 2.0))
            history.arrivals += [Arrival(101.0, gateway)] * 3
        verdict = Verdict()
        SignalEpisodes(office, disturbances).check(verdict)
        self.assertEqual(verdict.violations, ["i1: g1 sent 3 within 2.0 s that it asked for"])

    # Guards against a gateway that is blamed for not knowing that an upstream leaves, though a cut
    # of its links held up the answer that said so.
    def test_an_answer_that_a_cut_held_up_told_nothing_of_leaving(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            office = Office(Path(folder), random.Random(1))
        disturbances = Disturbances()
        disturbances.record(links_cut("g0"), 99.0, 100.2)
        disturbances.record(links_cut("g1"), 101.0, 102.0)
        history = office.run_registry.signals_of("i1")
        for gateway in ("g0", "g1"):
            history.leaving_answers_s[gateway] = [100.0]
            history.arrivals.append(Arrival(103.0, gateway))
        verdict = Verdict()
        SignalEpisodes(office, disturbances).check(verdict)
        told = "i1: g1 sent 1 later than 2.0 s after it said that it leaves"
        self.assertEqual(verdict.violations, [told])


async def _write_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"part")
    await asyncio.sleep(0.05)
    reset(writer.transport)


async def _write_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"part")
    await asyncio.sleep(0.05)
    writer.write(b"rest")
    writer.close()


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()
