"""Communication between the system's own processes: msgpack messages over gRPC."""

from __future__ import annotations

from .codec import Codec, UnknownMessage
from .rpc_channel import RpcChannel
from .rpc_server import RpcServer
from .tls_files import TlsFiles

__all__ = ["Codec", "RpcChannel", "RpcServer", "TlsFiles", "UnknownMessage"]
