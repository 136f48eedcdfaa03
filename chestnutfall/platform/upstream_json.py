"""Decoding of the JSON messages in which upstreams report their own state."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

from ..control.upstream_record import UpstreamRecord, incarnation_key
from ..coordination.relay_messages import Announce, Depart
from ..placement import AdapterName, EngineReport

MAX_NAME_CHARACTERS = 256
"""Several times the longest name in use. Names are kept in the replicated log and sent to every
gateway."""
MAX_COUNT = 2**53
"""Largest integer that every JSON reader represents exactly."""
MAX_ENTRIES = 4_096
"""Of a list; far more models and adapters than an engine holds. Bounds the cost of one message."""

_T = TypeVar("_T")
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class UnreadableUpstream(ValueError):
    """The message of an upstream is not valid JSON, or one of its fields is missing or invalid.

    Its text is part of the HTTP answer to the upstream.
    """


class _Model(msgspec.Struct):
    """A base model that an engine holds, with its adapters as NAME@VERSION."""

    name: _Name
    version: _Count
    adapters: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_ENTRIES)] = ()


_Models = Annotated[tuple[_Model, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class _Report(msgspec.Struct):
    """An engine's report of its contents, which the leader asks for."""

    seq: _Count = 0  # orders accepted since its start, not a number of this report
    models: _Models = ()
    # Adapters being loaded, as MODEL/NAME@VERSION.
    coming: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_ENTRIES)] = ()
    born: _Count = 0  # Unix time of its start in ms; 0 if not named


class _Announcement(msgspec.Struct):
    """An upstream's heartbeat."""

    service: _Name
    addr: _Address  # IP and port
    zone: _Name  # data centre
    state: Literal["ready", "draining"]  # draining: it takes no new requests
    seq: _Count  # number of this announcement since its start, not orders as in a report
    models: _Models | None = None  # None for services that are not engines
    born: _Count = 0  # Unix time of its start in ms; 0 if not named
    # Of its software, not of models or weights; empty if not named.
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)] = ""


class _Departure(msgspec.Struct):
    """Body of the message that an upstream sends before it exits."""

    born: _Count = 0  # Unix time of its start in ms; 0 if not named


_REPORT = msgspec.json.Decoder(_Report)
_ANNOUNCEMENT = msgspec.json.Decoder(_Announcement)
_DEPARTURE = msgspec.json.Decoder(_Departure)


def read_announcement(name: str, body: bytes) -> Announce:
    """Decode an announcement of the upstream `name`.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decode(_ANNOUNCEMENT, body)
    record = UpstreamRecord(
        incarnation_key(_checked_name(name), wire.born),
        wire.service,
        wire.addr,
        wire.zone,
        wire.state == "draining",
        name,
        wire.born,
        wire.version,
    )
    if wire.models is None:
        return Announce(record, wire.seq, None)
    return Announce(record, wire.seq, _engine_report(wire.models, (), 0, wire.born))


def read_departure(name: str, body: bytes) -> Depart:
    """Decode a departure of the upstream `name`; its body may be empty.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decode(_DEPARTURE, body) if body else _Departure()
    return Depart(_checked_name(name), wire.born)


def read_report(body: bytes) -> EngineReport:
    """Decode an engine's report of its contents.

    Raises
    ------
    UnreadableUpstream
    """
    wire = _decode(_REPORT, body)
    return _engine_report(wire.models, wire.coming, wire.seq, wire.born)


def _engine_report(
    models: tuple[_Model, ...], coming: tuple[str, ...], orders_taken: int, started_ms: int
) -> EngineReport:
    try:
        held = {
            AdapterName(model.name, name): version
            for model in models
            for name, version in map(_adapter_and_version, model.adapters)
        }
        loading = dict(map(_model_and_adapter, coming))
    except ValueError as exc:
        raise UnreadableUpstream(f"an adapter is not NAME@VERSION: {exc}") from exc
    versions = {model.name: model.version for model in models}
    return EngineReport(versions, held, loading, orders_taken, started_ms)


def _adapter_and_version(text: str) -> tuple[str, int]:
    name, _, version = text.partition("@")
    return name, int(version or 0)


def _model_and_adapter(text: str) -> tuple[AdapterName, int]:
    model, _, adapter = text.partition("/")
    name, version = _adapter_and_version(adapter)
    return AdapterName(model, name), version


def _checked_name(name: str) -> str:
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise UnreadableUpstream(
            f"a name has 1 to {MAX_NAME_CHARACTERS} characters, not {len(name)}"
        )
    try:
        name.encode()
    except UnicodeEncodeError as exc:
        raise UnreadableUpstream("a name is UTF-8") from exc
    return name


def _decode(decoder: msgspec.json.Decoder[_T], body: bytes) -> _T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UnreadableUpstream(str(exc)) from exc
