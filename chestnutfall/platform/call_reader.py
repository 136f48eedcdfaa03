"""Decoding a client's HTTP request to a `Call`."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest

from ..forwarding.call import Call, Headers
from ..placement import AdapterName, PromptPart
from ..requests import key_digest
from . import header_names as names

DEFAULT_DEADLINE_MS = 3_600_000
"""Used without the header; the timeout of the route then bounds the request."""
MAX_KEY_CHARACTERS = 1_024
"""Longer than any key in use; a request with a longer one is malformed."""
MAX_ID_CHARACTERS = 256
"""Several times the longest id in use. A longer one names no attempt that is remembered."""


def read_call(request: BaseRequest, body: bytes, arrived_ms: int) -> Call:
    """Decode a request that arrived at `arrived_ms`.

    Raises
    ------
    ValueError
        If one of the platform's headers is malformed. The message contains no API key.
    """
    target = request.raw_path
    headers = request.headers
    counts = headers.get(names.TOKEN_COUNTS, "")
    prompt_tokens, output_tokens = _token_counts(counts)
    last_event = headers.get(names.LAST_EVENT)
    return Call(
        request_id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=target,
        path=target.partition("?")[0],
        host=headers.get("Host", "").partition(":")[0],
        headers=_forwarded_headers(request.raw_headers),
        body=body,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + deadline_ms(request),
        adapter=_adapter(headers.get(names.MODEL)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_prompt_parts(headers.get(names.PROMPT_PARTS, "")),
        resume_after=int(last_event) if last_event is not None else None,
        tokens=prompt_tokens + output_tokens if counts else None,
        key_digest=_key_digest(headers.getall(names.KEY, [])),
        resumes=_resumed_attempt(headers.getall(names.RESUMES, [])),
    )


def deadline_ms(request: BaseRequest) -> int:
    """Return how long the client waits for its answer, from the arrival of its request.

    Raises
    ------
    ValueError
        If the header that states it is malformed.
    """
    return int(request.headers.get(names.DEADLINE, DEFAULT_DEADLINE_MS))


def _resumed_attempt(named: list[str]) -> str:
    """Return the attempt that a client names; empty unless it names exactly one.

    A malformed name is no error of the request: its stream is one that began unknown to us.
    """
    if len(named) != 1 or len(named[0]) > MAX_ID_CHARACTERS:
        return ""
    return named[0].strip()


def _key_digest(keys: list[str]) -> str | None:
    # Error messages must not contain a key, since they are logged.
    if len(keys) > 1:
        raise ValueError(f"{names.KEY} may occur once; found {len(keys)}")
    if not keys:
        return None
    if len(keys[0]) > MAX_KEY_CHARACTERS:
        raise ValueError(f"{names.KEY} is longer than {MAX_KEY_CHARACTERS} characters")
    return key_digest(keys[0])


def _forwarded_headers(raw_headers: tuple[tuple[bytes, bytes], ...]) -> Headers:
    decoded = (
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in raw_headers
    )
    return tuple(
        (name, value)
        for name, value in decoded
        if name.lower() not in names.CONNECTION_ONLY and name.lower() not in names.NOT_FORWARDED
    )


def _adapter(text: str | None) -> AdapterName | None:
    """Decode `MODEL/ADAPTER`; the adapter may be missing."""
    if text is None:
        return None
    model, _, adapter = text.partition("/")
    return AdapterName(model, adapter)


def _token_counts(text: str) -> tuple[int, int]:
    """Decode `PROMPT,OUTPUT`: tokens of the prompt, and most tokens to generate."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return int(prompt), int(output or 0)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Decode `ID:TOKENS,...`: the parts of the prompt in order; equal ids mean equal text."""
    pairs = (pair.partition(":") for pair in text.split(",") if pair)
    return tuple(PromptPart(part_id.strip(), int(tokens)) for part_id, _, tokens in pairs)
