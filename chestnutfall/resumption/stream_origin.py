"""The software that wrote the first events of a stream."""

from __future__ import annotations

from dataclasses import dataclass

from ..control.upstream_record import ANONYMOUS, UpstreamRecord


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What an upstream must run to go on with a stream.

    Attributes
    ----------
    service : str
        Service of the upstream that wrote the first events.
    build_key : str
        Identifies its software within the service; see `UpstreamRecord.build_key`.
    """

    service: str
    build_key: str

    @property
    def is_anonymous(self) -> bool:
        """Whether the upstream named no version, so that only itself is known to be the same."""
        return self.build_key.startswith(ANONYMOUS)

    @classmethod
    def of(cls, upstream: UpstreamRecord) -> StreamOrigin:
        """Return the origin of a stream that this incarnation begins."""
        return cls(upstream.service, upstream.build_key)

    def includes(self, upstream: UpstreamRecord) -> bool:
        """Whether an upstream runs the same software, so that the stream may go on there."""
        return self == StreamOrigin.of(upstream)
