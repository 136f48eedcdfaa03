"""A client that takes its stream up again where an attempt ended."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from .. import header_names as names
from .adapter_store import MODEL
from .operator import HOST
from .stream_text import WrittenEvent, is_in_order, read_events
from .tenants import KEYS, STEADY
from .upstream import ENTRY_HEADER

DEADLINE_MS = 4_000
MAX_ATTEMPTS = 4
ADAPTERS = 8
NOT_READ_STATUS = 0


@dataclass(slots=True)
class StreamAttempt:
    """One attempt of a client.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended without an answer.
    events : list of WrittenEvent
        Events that it brought.
    whole : bool
        Whether its answer ended as complete.
    reason : str
        Text of a refusal.
    resumes : str
        Attempt that it named as the one that brought the first event; empty for a new stream.
    after : int
        Number of the last event that the client had before it.
    left : bool
        Whether the client closed the connection on purpose.
    connected : bool
        Whether there was a connection to send it on.
    """

    request_id: str
    gateway: str
    sent_s: float
    resumes: str = ""
    after: int = 0
    status: int = NOT_READ_STATUS
    events: list[WrittenEvent] = field(default_factory=list)
    whole: bool = False
    reason: str = ""
    took_s: float = 0.0
    left: bool = False
    connected: bool = True


@dataclass(slots=True)
class StreamResult:
    """One stream as its client has it, over all its attempts."""

    attempts: list[StreamAttempt] = field(default_factory=list)

    @property
    def events(self) -> list[WrittenEvent]:
        """All events of the stream in the order in which they came."""
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def builds(self) -> set[str]:
        """Software versions that wrote the stream's events."""
        return {event.build for event in self.events}

    @property
    def has_hole(self) -> bool:
        """Whether an event is missing, repeated or out of order."""
        return not is_in_order(self.events, 0)

    @property
    def began(self) -> bool:
        """Whether the first attempt brought an event."""
        return bool(self.attempts[0].events)

    @property
    def resumed(self) -> list[StreamAttempt]:
        """Attempts that took the stream up."""
        return [attempt for attempt in self.attempts if attempt.resumes]

    @property
    def whole(self) -> bool:
        """Whether the client has the whole stream."""
        return self.attempts[-1].whole


@dataclass(frozen=True, slots=True)
class _WantedStream:
    """What each attempt of a client asks for."""

    route: str
    adapter: str
    prompt: str
    body: bytes


class StreamCaller:
    """Sends requests for resumable streams, and takes up those that broke off or that it left.

    Parameters
    ----------
    gateway : callable
        Draws the address of the gateway of the next attempt.
    names_attempt : bool
        Whether it names the attempt that brought the first event.
    """

    def __init__(
        self, rng: random.Random, gateway: Callable[[], str], names_attempt: bool = True
    ) -> None:
        self._rng = rng
        self._gateway = gateway
        self._names_attempt = names_attempt
        # Each attempt has a connection of its own, as clients that come back have.
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
        )

    async def stream(
        self, leaves_after: int | None = None, route: str = "long", parts: tuple[str, ...] = ()
    ) -> StreamResult:
        """Get one stream, with up to `MAX_ATTEMPTS` attempts once it has begun.

        Parameters
        ----------
        leaves_after : int or None
            Number of events after which the client closes its first connection.
        parts : tuple of str
            Shared parts of its prompt; each request has one more of its own.
        """
        wanted = self._draw_request(route, parts)
        result = StreamResult([await self._attempt(wanted, "", 0, leaves_after)])
        if not result.began:
            return result
        first = result.attempts[0].request_id
        while not result.whole and len(result.attempts) < MAX_ATTEMPTS:
            last = result.events[-1].number
            result.attempts.append(await self._attempt(wanted, first, last, None))
        return result

    def _draw_request(self, route: str, parts: tuple[str, ...]) -> _WantedStream:
        own = f"{self._rng.randrange(16**8):08x}"
        prompt = ",".join(f"{part}:50" for part in (*parts, own)) if parts else ""
        body = own.encode() if parts else b"photo"
        return _WantedStream(route, f"a{self._rng.randrange(ADAPTERS)}", prompt, body)

    async def _attempt(
        self, wanted: _WantedStream, resumes: str, after: int, leaves_after: int | None
    ) -> StreamAttempt:
        gateway = self._gateway()
        request_id = f"{self._rng.randrange(16**16):016x}"
        attempt = StreamAttempt(request_id, gateway, time.monotonic(), resumes, after)
        headers = {"Host": HOST, names.REQUEST_ID: request_id, names.DEADLINE: str(DEADLINE_MS)}
        headers |= {names.KEY: KEYS[STEADY], ENTRY_HEADER: gateway}
        headers |= {names.MODEL: f"{MODEL}/{wanted.adapter}", names.TOKEN_COUNTS: "100,40"}
        if wanted.prompt:
            headers[names.PROMPT_PARTS] = wanted.prompt
        if resumes:
            headers[names.LAST_EVENT] = str(after)
            if self._names_attempt:
                headers[names.RESUMES] = resumes
        body = bytearray()
        try:
            url = f"http://{gateway}/{wanted.route}/x"
            async with self._session.post(url, headers=headers, data=wanted.body) as resp:
                attempt.status = resp.status
                async for data in resp.content.iter_any():
                    body += data
                    if leaves_after is not None and _count(body) >= leaves_after:
                        attempt.left = True
                        break
                else:
                    attempt.whole = resp.status == 200
        except aiohttp.ClientConnectorError:
            attempt.connected = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            # A broken answer is what this client is for; what came of it counts.
            pass
        if attempt.status == 200:
            attempt.events = list(read_events(bytes(body)))
        else:
            attempt.reason = bytes(body).decode()
        attempt.took_s = time.monotonic() - attempt.sent_s
        return attempt

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


def _count(body: bytearray) -> int:
    return body.count(b"\n\n")
