"""The list of serving upstreams as sent to gateways: once as a whole, then as changes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from ..control.upstream_record import UpstreamRecord
from .document_compression import compress_document, decompress_document
from .messages import UpstreamsChange, UpstreamsPart

RECORDS_PER_PART = 500
"""About 15 KB compressed: a link of 5 Mbit/s sends this in 25 ms, and a pulse fits in between."""
MAX_UNCOMPRESSED_RECORDS = 16
"""Up to this many records are not worth the time that compression takes."""
REBASE_CHANGES = 64
"""A gateway that connects gets at most this many changes, and records in them, after the whole
list. It starts to serve when the list is complete, and would refuse calls for upstreams that come
later."""
MAX_CHANGES = 1_024
"""Changes kept while no gateway connects; without a bound they would grow throughout a long
term."""
_DECODER = msgspec.msgpack.Decoder(tuple[UpstreamRecord, ...])


def compress_part(
    records: Iterable[UpstreamRecord], begins: bool, complete: bool, mixed: tuple[str, ...] = ()
) -> UpstreamsPart:
    """Build a message with a part of the whole list."""
    return UpstreamsPart(_compress_records(records), begins, complete, mixed)


def part_records(part: UpstreamsPart) -> tuple[UpstreamRecord, ...]:
    """Decompress and decode the records in one part of the list of serving upstreams."""
    return _DECODER.decode(decompress_document(part.content))


class UpstreamViews:
    """The list that all gateways hold, and the messages that send it to a new gateway.

    If the whole list were sent at each change, traffic would grow with gateways times upstreams
    times changes. With a hundred gateways and a thousand upstreams it would fill the links: pulses
    of the leader come late, gateways leave it, and each one that comes back is sent the list again.
    """

    def __init__(self) -> None:
        self._held: dict[str, UpstreamRecord] = {}
        self._mixed: tuple[str, ...] = ()
        self._parts: tuple[UpstreamsPart, ...] = (compress_part((), True, True),)
        # Changes after `_parts` was built, and the number of records that they add.
        self._since: list[UpstreamsChange] = []
        self._records_since = 0

    def change_to(
        self, serving: Iterable[UpstreamRecord], mixed: tuple[str, ...] = ()
    ) -> Iterator[UpstreamsChange]:
        """Set the upstreams that serve now, and yield the change to send to gateways, if any.

        Parameters
        ----------
        mixed : tuple of str
            Services that have had several builds lately.
        """
        now = {one.instance: one for one in serving}
        dropped = tuple(instance for instance in self._held if instance not in now)
        added = tuple(one for one in now.values() if self._held.get(one.instance) != one)
        self._held = now
        if not added and not dropped and mixed == self._mixed:
            return
        self._mixed = mixed
        change = _change(added, dropped, mixed)
        self._since.append(change)
        self._records_since += len(added)
        if len(self._since) > MAX_CHANGES:
            self._rebase()
        yield change

    def whole(self) -> Iterator[UpstreamsPart | UpstreamsChange]:
        """Yield the messages for a gateway that holds no list."""
        if max(len(self._since), self._records_since) > REBASE_CHANGES:
            self._rebase()
        yield from self._parts
        yield from self._since

    def _rebase(self) -> None:
        records = tuple(self._held.values())
        starts = range(0, max(len(records), 1), RECORDS_PER_PART)
        self._parts = tuple(
            compress_part(
                records[at : at + RECORDS_PER_PART], at == 0, at == starts[-1], self._mixed
            )
            for at in starts
        )
        self._since.clear()
        self._records_since = 0


def _change(
    added: tuple[UpstreamRecord, ...], dropped: tuple[str, ...], mixed: tuple[str, ...]
) -> UpstreamsChange:
    if len(added) <= MAX_UNCOMPRESSED_RECORDS:
        return UpstreamsChange(added, dropped, mixed=mixed)
    return UpstreamsChange((), dropped, _compress_records(added), mixed)


def added_records(change: UpstreamsChange) -> tuple[UpstreamRecord, ...]:
    """Return the records that a change adds."""
    if not change.content:
        return change.added
    return _DECODER.decode(decompress_document(change.content))


def _compress_records(records: Iterable[UpstreamRecord]) -> bytes:
    return compress_document(msgspec.msgpack.encode(tuple(records)))
