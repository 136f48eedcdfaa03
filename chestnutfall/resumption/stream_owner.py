"""Whose a stream is."""

from __future__ import annotations

from ..requests import digest_of


def stream_owner(organisation: str, host: str) -> str:
    """Return the digest of a caller, who alone may take up the streams of its attempts.

    The attempt's id names the stream, and the caller alone decides what it sends to take it up: the
    body may differ from the one that began it. No other caller learns of the stream.

    Parameters
    ----------
    organisation : str
        Name of the organisation; empty if the call named none.
    host : str
        Host that the call is for; the caller's name if there is no organisation.
    """
    # An organisation and a host may bear the same name.
    kind, name = ("organisation", organisation) if organisation else ("host", host)
    return digest_of(f"{kind}\0{name}", b"")[:OWNER_CHARS]


OWNER_CHARS = 32
"""128 bits of SHA-256; two callers with the same digest can't be found."""
