"""Crowds beside honest clients that are slow, over several gateways, and one after the other."""

from __future__ import annotations

import asyncio
import socket
import struct

from soak.relay import REFUSED, ConnectionFault

from ..platform import header_names as names
from .crowd import Crowd, CrowdClients, body_less_one, chunked_body, head, requests_ahead
from .crowd_scenario import CrowdScenario, CrowdTestCase
from .process_memory import read_memory

LONG_BYTES = 4_100_000
PHOTO = b"p" * 1_500_000
CALL = "POST /again/x"
SLOW_BYTES, SLOW_PART_BYTES, SLOW_PART_S = 300_000, 15_000, 0.1
"""An upload comes in two seconds, two thirds of its route's time."""
ATTEMPTS = 6
RESETS, RESETTING = 150, 40
"""Connections that each of so many clients opens and resets."""
OWN_DESCRIPTORS = 64
"""What a process may open for itself meanwhile: kept connections to upstreams, helpers."""


class MixedCrowdsTest(CrowdTestCase):
    # Guards against a gateway that holds what upstreams write of streams that are taken up and read
    # by nobody.
    def test_streams_that_are_taken_up_and_not_read(self) -> None:
        lines = (f"{names.LAST_EVENT}: 1", f"{names.RESUMES}: unknown")
        crowd = Crowd(60, requests_ahead(20, path="/draft/x", adapter="a1", lines=lines))
        self.play(crowd, prepare=_stream_long)

    # Guards against a helper that holds more than it may of the bodies for engines.
    def test_bodies_for_engines_that_go_over_helpers(self) -> None:
        self.play_script(self._cut_off_from_engines)

    # Guards against a helper that holds more than it may of what several gateways pass on to it.
    def test_bodies_of_all_other_gateways_over_one_helper(self) -> None:
        self.play_script(self._cut_off_all_but_one)

    # Guards against a slow but honest upload that never gets through beside bodies that have
    # stopped.
    def test_a_slow_upload_beside_bodies_that_do_not_end(self) -> None:
        self.play_script(self._upload_slowly)

    # Guards against what stays behind connections that are reset as soon as they are open.
    def test_connections_that_are_reset_at_once(self) -> None:
        self.play_script(self._reset)

    # Guards against memory and descriptors that stay drawn behind a crowd, until the next one finds
    # none.
    def test_one_crowd_after_the_other(self) -> None:
        self.play_script(self._come_in_turn)

    async def _cut_off_from_engines(self, play: CrowdScenario) -> None:
        play.office.cut_off(play.office.gateways[0], ConnectionFault.RESET, REFUSED)
        _read_slowly(play)
        async with CrowdClients(play.front) as clients:
            await clients.enter(Crowd(60, requests_ahead(1, PHOTO, "/draft/x", adapter="a1")))
            play.is_answered = await play.is_served(play.office.gateways[0])

    async def _cut_off_all_but_one(self, play: CrowdScenario) -> None:
        *cut_off, helper = play.office.gateways
        for one in cut_off:
            play.office.cut_off(one, ConnectionFault.RESET, REFUSED)
        _read_slowly(play)
        crowd = Crowd(60, tuple(requests_ahead(1, PHOTO)))
        addresses = (play.office.client_address(one) for one in cut_off)
        async with CrowdClients(next(addresses)) as first, CrowdClients(next(addresses)) as second:
            await asyncio.gather(first.enter(crowd), second.enter(crowd))
            play.is_answered = await play.is_served(helper)

    async def _upload_slowly(self, play: CrowdScenario) -> None:
        async with CrowdClients(play.front) as clients:
            await clients.enter(Crowd(60, body_less_one(LONG_BYTES)))
            for _ in range(ATTEMPTS):
                if await _upload(play.front):
                    play.is_answered = True
                    return

    async def _reset(self, play: CrowdScenario) -> None:
        gateway = play.office.gateways[0]
        before = self._descriptors(play)
        part = head(CALL, "Content-Length: 60000", ends=False)
        await asyncio.gather(*(_reset_again(play.front, part) for _ in range(RESETTING)))
        play.is_answered = await play.is_served(gateway)
        self.assertLessEqual(self._descriptors(play), before + OWN_DESCRIPTORS)

    async def _come_in_turn(self, play: CrowdScenario) -> None:
        before = self._descriptors(play)
        for crowd in (
            Crowd(60, chunked_body(LONG_BYTES, 60_000)),
            Crowd(300, requests_ahead(40, b"p" * 20_000)),
            Crowd(60, body_less_one(LONG_BYTES)),
        ):
            await play.visit(play.front, crowd)
            self.assertTrue(play.is_answered)
            self.assertLessEqual(self._descriptors(play), before + OWN_DESCRIPTORS)

    def _descriptors(self, play: CrowdScenario) -> int:
        gateway = play.office.gateways[0]
        assert gateway.pid is not None
        found = read_memory(gateway.pid, gateway.plan.ip)
        assert found is not None
        return found.descriptors


async def _upload(address: str) -> bool:
    """Send a body slowly; return whether it is answered with success."""
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return False
    try:
        writer.write(head(CALL, f"Content-Length: {SLOW_BYTES}"))
        for _ in range(SLOW_BYTES // SLOW_PART_BYTES):
            writer.write(b"p" * SLOW_PART_BYTES)
            await writer.drain()
            await asyncio.sleep(SLOW_PART_S)
        return (await reader.readline()).split()[1:2] == [b"200"]
    except OSError:
        return False
    finally:
        writer.transport.abort()


async def _reset_again(address: str, part: bytes) -> None:
    """Open connections, write a part of a request, and reset them."""
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    for _ in range(RESETS):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, (ip, int(port)))
                await loop.sock_sendall(sock, part)
            except OSError:
                # Closed out by the gateway.
                await asyncio.sleep(0.01)


def _read_slowly(play: CrowdScenario) -> None:
    for one in play.office.upstreams:
        one.reads_slowly = True


def _stream_long(play: CrowdScenario) -> None:
    for one in play.office.upstreams:
        one.events, one.event_s = 5_000, 0.0
