"""A client of the platform that checks the answers it gets."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import aiohttp

from .. import header_names as names
from .adapter_store import MODEL
from .operator import HOST
from .stream_text import begins_stream, is_whole_stream
from .tenants import KEYS, STEADY
from .upstream import ENTRY_HEADER, EVENTS, answer_body

DEADLINE_MS = 2_500
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class ClientResult:
    """Outcome of one request, as its client sees it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended without an answer.
    complete : bool
        Whether the answer ended as complete.
    correct : bool
        Whether a complete success has exactly the expected body, and an incomplete one the
        beginning of it. True for every other status.
    organisation : str
        Organisation whose key the request had.
    retry_after_s : float or None
        Value of the answer's Retry-After.
    took_s : float
        Time from sending the request to the end of its answer.
    reason : str
        Body of the answer if its status promises that the request did not run.
    """

    request_id: str
    route: str
    status: int
    complete: bool
    correct: bool
    organisation: str = STEADY
    retry_after_s: float | None = None
    took_s: float = 0.0
    reason: str = ""

    @property
    def says_not_run(self) -> bool:
        """Whether the status promises that the request did not run."""
        return self.status in NOT_RUN_STATUSES


class StandInClient:
    """Sends requests to gateways on kept connections, with the request ids that `rng` draws."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4))

    async def send(
        self, gateway: str, route: str, content: bytes = b"photo", organisation: str = STEADY
    ) -> ClientResult:
        """Send one request to the address `gateway` and read its answer.

        Streamed routes name an adapter that `rng` draws.
        """
        request_id = f"{self._rng.randrange(16**16):016x}"
        headers = {"Host": HOST, names.REQUEST_ID: request_id, names.DEADLINE: str(DEADLINE_MS)}
        headers[names.KEY] = KEYS[organisation]
        # A forged organisation, which gateways must not forward.
        headers[names.ORGANISATION] = "claimed"
        headers[ENTRY_HEADER] = gateway
        streamed = route in ("draft", "long")
        if streamed:
            headers[names.MODEL] = f"{MODEL}/a{self._rng.randrange(12)}"
            headers[names.TOKEN_COUNTS] = "100,40"
        body = bytearray()
        status = 0
        retry_after_s: float | None = None
        began_s = time.monotonic()
        try:
            url = f"http://{gateway}/{route}/x"
            async with self._session.post(url, headers=headers, data=content) as resp:
                status = resp.status
                retry_after_s = _seconds(resp.headers.get(names.RETRY_AFTER))
                async for data in resp.content.iter_any():
                    body += data
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_part = begins_stream if streamed else _begins_answer
            correct = status != 200 or is_part(bytes(body), request_id)
            took_s = time.monotonic() - began_s
            return ClientResult(
                request_id, route, status, False, correct, organisation, None, took_s
            )
        if streamed:
            correct = status != 200 or is_whole_stream(bytes(body), request_id, EVENTS)
        else:
            correct = status != 200 or bytes(body) == answer_body(request_id)
        took_s = time.monotonic() - began_s
        reason = bytes(body).decode() if status in NOT_RUN_STATUSES else ""
        return ClientResult(
            request_id, route, status, True, correct, organisation, retry_after_s, took_s, reason
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


def _begins_answer(body: bytes, request_id: str) -> bool:
    """Whether a body is the beginning of the only correct answer to a plain request."""
    return answer_body(request_id).startswith(body)


def _seconds(text: str | None) -> float | None:
    return float(text) if text is not None else None
