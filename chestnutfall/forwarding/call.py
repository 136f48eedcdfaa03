"""A client's request as it is forwarded."""

from __future__ import annotations

from dataclasses import dataclass

from ..placement import AdapterName, PromptPart

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Call:
    """One client request; method, target, headers and body reach the upstream unchanged.

    Attributes
    ----------
    target : str
        Path and query as the client sent them.
    path : str
        Path alone, as the client sent it.
    arrived_ms, deadline_ms : int
        Clock times at which the call arrived and at which the client gives up.
    adapter : AdapterName or None
        Adapter that an engine must hold to run the call.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the most tokens of the answer.
    parts : tuple of PromptPart
        Parts of the prompt, with their tokens.
    resume_after : int or None
        Number of the last event that the client has, if it resumes a stream.
    tokens : int or None
        Tokens of prompt and answer stated in the call; None if it states none.
    key_digest : str or None
        Digest of the call's API key; None without a key.
    resumes : str
        Id of the client's attempt that brought the first event of the stream which this call
        resumes; empty if it names none.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    arrived_ms: int
    deadline_ms: int
    adapter: AdapterName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    tokens: int | None = None
    key_digest: str | None = None
    resumes: str = ""
