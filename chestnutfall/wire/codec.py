"""Encoding of tagged unions of frozen data classes as msgpack."""

from __future__ import annotations

from typing import Any

import msgspec

from .traffic import Traffic


class UnknownMessage(ValueError):
    """A message of a type that this release doesn't know."""


class Codec:
    """Encodes and decodes the messages of one closed union.

    A message is encoded as `[class name, fields]`. An unknown class name or a wrong field type is
    an error, so a peer of an incompatible version fails instead of being misinterpreted.

    Attributes
    ----------
    traffic : Traffic
        Counts the messages encoded and decoded, by class name.
    """

    def __init__(self, *types: type) -> None:
        self._types = {kind.__name__: kind for kind in types}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self.traffic = Traffic()
        self._last: tuple[Any, bytes] = (None, b"")
        self._envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])

    def encode(self, msg: Any) -> bytes:
        """Return `msg` encoded, and count it as sent."""
        encoded = self._encoded(msg)
        self.traffic.record_sent(type(msg).__name__, len(encoded))
        return encoded

    def can_encode(self, msg: Any) -> bool:
        """Whether a message can be sent; it can't hold numbers of over 64 bits or broken text.

        gRPC ends the stream on which such a message is written.
        """
        try:
            self._encoded(msg)
        except (ValueError, TypeError, OverflowError, msgspec.MsgspecError):
            return False
        return True

    def _encoded(self, msg: Any) -> bytes:
        # The same message is often sent to many peers in a row: a view of 32 upstreams to 90
        # gateways, for example. Messages are frozen, so the last encoding can be reused.
        last, encoded = self._last
        if msg is not last:
            encoded = self._encoder.encode((type(msg).__name__, msg))
            self._last = (msg, encoded)
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the message encoded in `data`, and count it as received.

        Raises
        ------
        UnknownMessage
            When `data` is a message of another release.
        ValueError
            When `data` is not a message of this union.
        """
        try:
            name, fields = self._envelope.decode(data)
            decoder = self._decoders.get(name) or self._add_decoder(name)
            msg = decoder.decode(fields)
        except KeyError as exc:
            raise UnknownMessage(f"unknown message {exc}; known: {sorted(self._types)}") from exc
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            raise ValueError(f"not a message of this union: {exc}") from exc
        self.traffic.record_received(name, len(data))
        return msg

    def _add_decoder(self, name: str) -> msgspec.msgpack.Decoder[Any]:
        # A process receives half of a union at most, and a decoder takes as long to build as its
        # data class: each one is built when its first message arrives.
        self._decoders[name] = msgspec.msgpack.Decoder(self._types[name])
        return self._decoders[name]
