"""Ids of attempts by which streams are remembered."""

from __future__ import annotations

MAX_ID_CHARACTERS = 256
"""Several times the longest id in use; thousands of them are kept."""


def remembered_attempt(request_id: str) -> str:
    """Return the id by which a stream is remembered; empty if it is too long or no plain text.

    The stream of such an attempt is unknown to all gateways, and is not resumed.
    """
    if len(request_id) > MAX_ID_CHARACTERS or not request_id.isascii():
        return ""
    return request_id
