"""Client connection to another process of the system."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from contextlib import contextmanager
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


class _Connection:
    """A gRPC channel with the number of its users: calls, streams and waits for a connection.

    Once it is retired it takes no new ones and closes behind the last: a user for whom the peer is
    silent or lost doesn't end the others, whose own deadlines and keepalive end them.
    """

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.calls: dict[str, Any] = {}
        self._users = 0
        self._retired = False
        self._closing: asyncio.Task[None] | None = None

    def begin_use(self) -> None:
        self._users += 1

    def end_use(self, ended: object = None) -> None:
        self._users -= 1
        self._close_if_unused()

    @contextmanager
    def in_use(self) -> Iterator[None]:
        self.begin_use()
        try:
            yield
        finally:
            self.end_use()

    def retire(self) -> None:
        self._retired = True
        self._close_if_unused()

    @property
    def is_closing(self) -> bool:
        return self._closing is not None

    def _close_if_unused(self) -> None:
        if self._retired and not self._users and self._closing is None:
            self._closing = asyncio.ensure_future(self._close_unused())

    async def _close_unused(self) -> None:
        if self._users:
            # A wait for the connection ended, and its stream began in the same step.
            self._closing = None
            return
        with contextlib.suppress(Exception):
            await self.channel.close()


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
        self._connection = self._open()
        self._retired: list[_Connection] = []

    def _open(self) -> _Connection:
        target = f"ipv4:{self.address}"
        if self._tls is None:
            return _Connection(grpc.aio.insecure_channel(target, options=self._options))
        # All certificates carry the same DNS name instead of the IP address of a host.
        options = (*self._options, ("grpc.ssl_target_name_override", "chestnutfall"))
        creds = self._tls.channel_credentials()
        return _Connection(grpc.aio.secure_channel(target, creds, options=options))

    async def call(self, method: str, msg: Any, timeout_ms: float) -> Any:
        """Send `msg` and return the reply.

        Raises
        ------
        ConnectionError
            When the call fails or there is no reply within `timeout_ms`; the peer may or may not
            have executed it.
        """
        connection = self._connection
        if method not in connection.calls:
            connection.calls[method] = connection.channel.unary_unary(
                f"/chestnutfall/{method}",
                request_serializer=self._codec.encode,
                response_deserializer=self._codec.decode,
            )
        try:
            with connection.in_use():
                return await connection.calls[method](msg, timeout=timeout_ms / 1000)
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._reopen(connection)
            raise ConnectionError(f"{self.address}: {exc.code().name} {exc.details()}") from exc
        except asyncio.CancelledError as exc:
            if was_cancelled():
                raise
            raise ConnectionError(f"{self.address}: the connection was closed") from exc

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is established."""
        with self._connection.in_use():
            await self._connection.channel.channel_ready()

    def stream(self, method: str) -> Any:
        """Open a stream of messages in both directions and return its gRPC call."""
        connection = self._connection
        stream = connection.channel.stream_stream(
            f"/chestnutfall/{method}",
            request_serializer=self._codec.encode,
            response_deserializer=self._codec.decode,
        )()
        connection.begin_use()
        stream.add_done_callback(connection.end_use)
        return stream

    def _reopen(self, silent: _Connection) -> None:
        # A firewall, for example, may drop the state of a connection. The connection then stays
        # open but silent, and every call on it times out although the peer is reachable. A new
        # connection costs little compared with a timed-out call, so each timeout opens one for
        # the next call. The peer may also be silent to this call only.
        if silent is not self._connection:
            return
        self._connection = self._open()
        self._retire(silent)

    def _retire(self, connection: _Connection) -> None:
        connection.retire()
        self._retired = [one for one in (*self._retired, connection) if not one.is_closing]

    def retire(self) -> None:
        """Close the connection once the calls and streams in progress have ended."""
        self._retire(self._connection)

    @property
    def is_closed(self) -> bool:
        """Whether it was retired, and all that was in progress has ended."""
        return self._connection.is_closing

    async def close(self, grace_s: float | None = None) -> None:
        """Close the connection; calls and streams that are in progress after `grace_s` fail."""
        connections = (self._connection, *self._retired)
        await asyncio.gather(*(one.channel.close(grace_s) for one in connections))
