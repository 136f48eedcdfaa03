"""What is wrong with the head of an answer that the HTTP library accepts."""

from __future__ import annotations

import re

from aiohttp.http_parser import RawResponseMessage

MIN_STATUS, MAX_STATUS = 100, 599
SWITCHING_PROTOCOLS = 101
MAX_SHOWN = 64
"""Bytes of a line that an error shows."""
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTINUED = re.compile(rb"\n[ \t]")
_END = re.compile(rb"\n\r?\n")


def is_interim(status: int) -> bool:
    """Whether the answer itself follows behind a head with this status."""
    return MIN_STATUS <= status < 200 and status != SWITCHING_PROTOCOLS


def head_problem(message: RawResponseMessage) -> str:
    """Return what is wrong with a head; empty if clients read it as it was meant.

    A head that is passed on must be read alike by everybody: what one takes for a field, or for
    none, another one takes for the end of the answer.
    """
    status = message.code
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        return f"status {status:03d}; allowed are 100 and 102 to {MAX_STATUS}"
    for name, value in message.raw_headers:
        if not _NAME.fullmatch(name):
            return f"field name {name[:MAX_SHOWN]!r}; allowed are the characters of a token"
        if _CONTROL.search(value):
            return f"field {name.decode()}: {value[:MAX_SHOWN]!r}; allowed are no control bytes"
    return ""


def continues_line(before: bytes, part: bytes) -> bool:
    """Whether a line in a head begins with a blank, so that it goes on with the one before.

    The library joins the two. Others take it for a field with a blank in its name.

    Parameters
    ----------
    before : bytes
        Last byte of what came before, if that was of the same head.
    part : bytes
        What has come; the head may end in it.
    """
    head = _END.split(before + part, 1)[0]
    return _CONTINUED.search(head) is not None
