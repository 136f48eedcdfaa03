"""Client connection to another process of the system."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import grpc

from ..clock.cancelled import was_cancelled
from .codec import Codec
from .keepalive import MAX_SILENCE_MS, keepalive_options
from .tls_files import TlsFiles

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
)


class RpcChannel:
    """Sends unary calls and opens message streams to `address`, an IP and port.

    The connection is opened on first use; with `tls` both sides authenticate themselves.

    Parameters
    ----------
    max_silence_ms : int
        How long the peer may leave a keepalive ping without an answer.
    """

    def __init__(
        self,
        address: str,
        codec: Codec,
        tls: TlsFiles | None = None,
        max_silence_ms: int = MAX_SILENCE_MS,
    ) -> None:
        self.address = address
        self._options = (*_OPTIONS, *keepalive_options(max_silence_ms))
        self._codec = codec
        self._tls = tls
        # Closing a connection cancels its streams. One that is silent ends by its keepalive.
        self._streams: set[Any] = set()
        self._open()

    def _open(self) -> None:
        target = f"ipv4:{self.address}"
        if self._tls is None:
            self._channel = grpc.aio.insecure_channel(target, options=self._options)
        else:
            # All certificates carry the same DNS name instead of the IP address of a host.
            options = (*self._options, ("grpc.ssl_target_name_override", "chestnutfall"))
            creds = self._tls.channel_credentials()
            self._channel = grpc.aio.secure_channel(target, creds, options=options)
        self._calls: dict[str, Any] = {}

    async def call(self, method: str, msg: Any, timeout_ms: float) -> Any:
        """Send `msg` and return the reply.

        Raises
        ------
        ConnectionError
            When the call fails or there is no reply within `timeout_ms`; the peer may or may not
            have executed it.
        """
        if method not in self._calls:
            self._calls[method] = self._channel.unary_unary(
                f"/chestnutfall/{method}",
                request_serializer=self._codec.encode,
                response_deserializer=self._codec.decode,
            )
        try:
            return await self._calls[method](msg, timeout=timeout_ms / 1000)
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED and not self._streams:
                await self._reopen()
            raise ConnectionError(f"{self.address}: {exc.code().name} {exc.details()}") from exc
        except asyncio.CancelledError as exc:
            if was_cancelled():
                raise
            # The connection was closed, for example after another call on it had timed out.
            raise ConnectionError(f"{self.address}: the connection was closed") from exc

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is established."""
        await self._channel.channel_ready()

    def stream(self, method: str) -> Any:
        """Open a stream of messages in both directions and return its gRPC call."""
        stream = self._channel.stream_stream(
            f"/chestnutfall/{method}",
            request_serializer=self._codec.encode,
            response_deserializer=self._codec.decode,
        )()
        self._streams.add(stream)
        stream.add_done_callback(self._streams.discard)
        return stream

    async def _reopen(self) -> None:
        # A firewall, for example, may drop the state of a connection. The connection then stays
        # open but silent, and every call on it times out although the peer is reachable. A new
        # connection costs little compared with a timed-out call, so each timeout opens one for
        # the next call.
        old = self._channel
        self._open()
        with contextlib.suppress(Exception):
            await old.close(grace=1.0)

    async def close(self, grace_s: float | None = None) -> None:
        """Close the connection; calls and streams that are in progress after `grace_s` fail."""
        await self._channel.close(grace_s)
