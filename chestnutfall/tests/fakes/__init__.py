"""Small fakes at the interfaces, all driven by one manual clock."""

from __future__ import annotations

from .fake_cluster import FakeCluster
from .fake_folder import FakeFolder
from .fake_network import FakeNetwork
from .node_clock import NodeClock
from .recorder import Recorder

__all__ = ["FakeCluster", "FakeFolder", "FakeNetwork", "NodeClock", "Recorder"]
