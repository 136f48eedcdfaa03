"""Decoding a client's HTTP request to a `Call`."""

from __future__ import annotations

from collections.abc import Iterator

from aiohttp.web_request import BaseRequest

from ..forwarding.call import Call, Headers
from ..placement import AdapterName, PromptPart
from ..placement.told_parts import told_parts
from ..requests import key_digest
from ..resumption import remembered_attempt
from . import header_names as names

DEFAULT_DEADLINE_MS = 3_600_000
"""Used without the header; the timeout of the route then bounds the request."""
MAX_SHOWN = 64
"""Characters of a value that an error message shows."""
MAX_TOKENS = 2**31 - 1
"""More than any model reads; the messages between gateways and the leader hold it."""
MAX_EVENT_ID = 2**63 - 1
"""The same, of the number of an event."""
MAX_KEY_CHARACTERS = 1_024
"""Longer than any key in use; a request with a longer one is malformed."""


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
        parts=told_parts(_prompt_parts(headers.get(names.PROMPT_PARTS, ""))),
        resume_after=_event_id(headers.get(names.LAST_EVENT)),
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
    stated_ms = int(request.headers.get(names.DEADLINE, DEFAULT_DEADLINE_MS))
    return min(max(stated_ms, 0), DEFAULT_DEADLINE_MS)


def _resumed_attempt(named: list[str]) -> str:
    """Return the attempt that a client names; empty unless it names exactly one.

    A malformed name is no error of the request: its stream is one that began unknown to us.
    """
    return remembered_attempt(named[0].strip()) if len(named) == 1 else ""


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
    _check_text(names.MODEL, text)
    model, _, adapter = text.partition("/")
    return AdapterName(model, adapter)


def _token_counts(text: str) -> tuple[int, int]:
    """Decode `PROMPT,OUTPUT`: tokens of the prompt, and most tokens to generate."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return _tokens(names.TOKEN_COUNTS, prompt), _tokens(names.TOKEN_COUNTS, output or "0")


def _prompt_parts(text: str) -> Iterator[PromptPart]:
    """Decode `ID:TOKENS,...`: the parts of the prompt in order; equal ids mean equal text."""
    pairs = (pair.partition(":") for pair in text.split(",") if pair)
    for part_id, _, tokens in pairs:
        yield PromptPart(part_id.strip(), _tokens(names.PROMPT_PARTS, tokens))


def _event_id(text: str | None) -> int | None:
    return None if text is None else _whole_number(names.LAST_EVENT, text, MAX_EVENT_ID)


def _tokens(header: str, text: str) -> int:
    return _whole_number(header, text, MAX_TOKENS)


def _whole_number(header: str, text: str, most: int) -> int:
    # What no message between processes holds would end the stream to the leader, and with it the
    # questions of all other requests.
    number = int(text)
    if not 0 <= number <= most:
        raise ValueError(f"{header}: found {text[:MAX_SHOWN]!r}, allowed are 0 to {most}")
    return number


def _check_text(header: str, text: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        raise ValueError(f"{header}: found {text[:MAX_SHOWN]!r}, allowed is UTF-8") from exc
