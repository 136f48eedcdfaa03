"""Clients whose requests name very much in few bytes."""

from __future__ import annotations

from collections.abc import Iterator

from ..platform import header_names as names
from ..platform.standin.adapter_store import MODEL
from .crowd import Crowd, head
from .crowd_scenario import CrowdTestCase

CALL = "POST /draft/x"
PARTS = 1_900
"""Parts of a prompt, each with an id of its own, that one head has room for within the usual limit
on it."""
NAME_CHARACTERS = 12_000
ADAPTERS = 400
"""Adapters that one client asks for."""


class CrowdsOfNamesTest(CrowdTestCase):
    # Guards against a controller that is killed by the parts of the prompts that wait for a place.
    def test_prompts_of_very_many_parts(self) -> None:
        self.play(Crowd(60, _prompts(40, tokens=1)))

    # Guards against a leader that keeps parts for good, as no engine's memory is full of them.
    def test_parts_that_have_no_tokens(self) -> None:
        self.play(Crowd(60, _prompts(40, tokens=0)))

    # Guards against a leader that keeps the names of adapters that nobody ever made.
    def test_adapters_with_very_long_names(self) -> None:
        self.play(Crowd(40, _adapters))


def _prompts(count: int, tokens: int) -> Iterator[bytes]:
    """Yield whole requests one behind the other, no two of which share a part."""
    for at in range(count):
        ids = range(at * PARTS + 0x10000, (at + 1) * PARTS + 0x10000)
        parts = ",".join(f"{one:x}:{tokens}" for one in ids)
        yield _request(f"{MODEL}/a1", f"{names.PROMPT_PARTS}: {parts}")


def _adapters(client: int) -> Iterator[bytes]:
    """Yield whole requests of a client one behind the other, each for another adapter.

    They can't wait for one to be loaded, and are refused at once.
    """
    for at in range(ADAPTERS):
        name = f"{client * ADAPTERS + at:05d}{'a' * NAME_CHARACTERS}"
        yield _request(f"{MODEL}/{name}", f"{names.DEADLINE}: 400")


def _request(adapter: str, *lines: str) -> bytes:
    named = (f"{names.MODEL}: {adapter}", f"{names.TOKEN_COUNTS}: 100,40")
    return head(CALL, "Content-Length: 0", *named, *lines)
