"""Decoding of the JSON calls by which operators name new versions."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..coordination.relay_messages import StoreVersion
from .upstream_json import MAX_COUNT, MAX_NAME_CHARACTERS

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class UnreadableVersion(ValueError):
    """The call is not valid JSON, or one of its fields is missing or invalid.

    Its text is part of the HTTP answer to the operator.
    """


class _Version(msgspec.Struct):
    """A new version of an adapter, or of a base model if no adapter is named."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    adapter: _Name | None = None  # missing, null and empty are the same


_VERSION = msgspec.json.Decoder(_Version)


def read_version(body: bytes) -> StoreVersion:
    """Decode a call that names a version.

    Raises
    ------
    UnreadableVersion
    """
    try:
        wire = _VERSION.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UnreadableVersion(str(exc)) from exc
    return StoreVersion(wire.model, wire.adapter or "", wire.version)
