"""Server for calls from other processes of the system."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from .codec import Codec
from .keepalive import MAX_SILENCE_MS, keepalive_options
from .rpc_channel import MAX_MESSAGE_BYTES
from .tls_files import TlsFiles

MAX_CONCURRENT_CALLS = 4096
UNREAD_BYTES = 64 * 1024
"""What a stream may have sent ahead of what is read, where messages are bounded."""
Handler = Callable[[Any, Any], Awaitable[Any]]
_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
)


class RpcServer:
    """Serves unary methods and message streams on one address.

    With `tls` only clients with a certificate of the same authority are accepted.

    Parameters
    ----------
    max_silence_ms : int
        How long a client may leave a keepalive ping without an answer.
    max_message_bytes : int
        Longest message that is taken. With less than the usual length, no stream sends ahead of
        what is read either: gRPC lets it send as much as fits the connection's speed otherwise,
        megabytes that belong to no account.

    Attributes
    ----------
    port : int
        Port that the server is bound to, also when `address` asked for any free port.
    """

    def __init__(
        self,
        address: str,
        tls: TlsFiles | None = None,
        max_silence_ms: int = MAX_SILENCE_MS,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self._server = grpc.aio.server(
            options=(
                *_OPTIONS,
                *keepalive_options(max_silence_ms),
                *_size_options(max_message_bytes),
            ),
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )
        if tls is None:
            self.port = self._server.add_insecure_port(address)
        else:
            self.port = self._server.add_secure_port(address, tls.server_credentials())

    def add_unary(self, method: str, codec: Codec, handler: Handler) -> None:
        """Serve the unary `method` with the coroutine `handler(msg, context)`."""
        self._add(
            method,
            grpc.unary_unary_rpc_method_handler(
                handler, request_deserializer=codec.decode, response_serializer=codec.encode
            ),
        )

    def add_stream(self, method: str, codec: Codec, handler: Any) -> None:
        """Serve the stream `method` with the async generator `handler(messages, context)`."""
        self._add(
            method,
            grpc.stream_stream_rpc_method_handler(
                handler, request_deserializer=codec.decode, response_serializer=codec.encode
            ),
        )

    def _add(self, method: str, handler: Any) -> None:
        handlers = grpc.method_handlers_generic_handler("chestnutfall", {method: handler})
        self._server.add_generic_rpc_handlers((handlers,))

    async def start(self) -> None:
        """Start accepting calls."""
        await self._server.start()

    async def stop(self, grace_ms: float = 500) -> None:
        """Stop accepting calls, let those in progress run for `grace_ms`, then cancel them."""
        await self._server.stop(grace_ms / 1000)


def _size_options(max_message_bytes: int) -> tuple[tuple[str, int], ...]:
    longest = ("grpc.max_receive_message_length", max_message_bytes)
    if max_message_bytes >= MAX_MESSAGE_BYTES:
        return (longest,)
    return (longest, ("grpc.http2.bdp_probe", 0), ("grpc.http2.lookahead_bytes", UNREAD_BYTES))
