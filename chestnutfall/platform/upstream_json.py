"""What upstreams say of themselves, as JSON."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

from ..control.upstream_record import UpstreamRecord, incarnation_key
from ..coordination.relay_messages import Announce, Depart
from ..placement import AdapterName, EngineReport

MOST_CHARACTERS = 256
"""Several times the longest name seen; names are kept in the log and sent to every gateway."""
MOST_COUNT = 2**53
"""Counts and times beyond it are not whole in every JSON reader."""
MOST_ENTRIES = 4_096
"""Far more models and adapters than an engine holds; bounds what one announcement costs."""

_T = TypeVar("_T")
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_CHARACTERS)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MOST_COUNT)]


class UnreadableUpstream(ValueError):
    """The text is not what an upstream says of itself."""


class _Model(msgspec.Struct):
    name: _Name
    version: _Count
    adapters: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MOST_ENTRIES)] = ()


_Models = Annotated[tuple[_Model, ...], msgspec.Meta(max_length=MOST_ENTRIES)]


class _Report(msgspec.Struct):
    seq: _Count = 0  # orders that it accepted since its start
    models: _Models = ()
    coming: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MOST_ENTRIES)] = ()
    born: _Count = 0  # Unix ms of its start


class _Announcement(msgspec.Struct):
    service: _Name
    addr: _Address
    zone: _Name
    state: Literal["ready", "draining"]
    seq: _Count  # announcements of this start, not orders as in a report
    models: _Models | None = None  # only engines have it
    born: _Count = 0  # Unix ms of its start


class _Departure(msgspec.Struct):
    born: _Count = 0  # Unix ms of its start


_REPORT = msgspec.json.Decoder(_Report)
_ANNOUNCEMENT = msgspec.json.Decoder(_Announcement)
_DEPARTURE = msgspec.json.Decoder(_Departure)


def read_announcement(name: str, body: bytes) -> Announce:
    """Translate an announcement of the upstream `name`.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decoded(_ANNOUNCEMENT, body)
    record = UpstreamRecord(
        incarnation_key(_checked(name), wire.born),
        wire.service,
        wire.addr,
        wire.zone,
        wire.state == "draining",
        name,
        wire.born,
    )
    if wire.models is None:
        return Announce(record, wire.seq, None)
    return Announce(record, wire.seq, _contents(wire.models, (), 0, wire.born))


def read_departure(name: str, body: bytes) -> Depart:
    """Translate a departure of the upstream `name`; its body may be empty.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decoded(_DEPARTURE, body) if body else _Departure()
    return Depart(_checked(name), wire.born)


def read_report(body: bytes) -> EngineReport:
    """Translate an engine's report of its contents.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decoded(_REPORT, body)
    return _contents(wire.models, wire.coming, wire.seq, wire.born)


def _contents(
    models: tuple[_Model, ...], coming: tuple[str, ...], orders_taken: int, started_ms: int
) -> EngineReport:
    try:
        held = {
            AdapterName(model.name, name): version
            for model in models
            for name, version in map(_adapter, model.adapters)
        }
        in_transit = dict(map(_adapter_of_model, coming))
    except ValueError as exc:
        raise UnreadableUpstream(f"an adapter is not NAME@VERSION: {exc}") from exc
    versions = {model.name: model.version for model in models}
    return EngineReport(versions, held, in_transit, orders_taken, started_ms)


def _adapter(text: str) -> tuple[str, int]:
    name, _, version = text.partition("@")
    return name, int(version or 0)


def _adapter_of_model(text: str) -> tuple[AdapterName, int]:
    model, _, adapter = text.partition("/")
    name, version = _adapter(adapter)
    return AdapterName(model, name), version


def _checked(name: str) -> str:
    if not 0 < len(name) <= MOST_CHARACTERS:
        raise UnreadableUpstream(f"a name has 1 to {MOST_CHARACTERS} characters, not {len(name)}")
    return name


def _decoded(decoder: msgspec.json.Decoder[_T], body: bytes) -> _T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UnreadableUpstream(str(exc)) from exc
