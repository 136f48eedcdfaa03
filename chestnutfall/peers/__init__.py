"""Streams between gateways.

On a stream a gateway asks for tickets of the engines that the other gateway owns, and receives
the owner's views of these engines.
"""

from __future__ import annotations

from .peer_link import PeerLink
from .peer_links import PeerLinks
from .peer_server import PeerServer

__all__ = ["PeerLink", "PeerLinks", "PeerServer"]
