"""Streams between gateways: tickets one way, views of engines the other."""

from __future__ import annotations

from .peer_link import PeerLink
from .peer_links import PeerLinks
from .peer_server import PeerServer

__all__ = ["PeerLink", "PeerLinks", "PeerServer"]
