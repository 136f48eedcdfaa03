"""Which new connections a gateway takes while more come than it can serve."""

from .acceptor import Acceptor
from .connection_gate import ConnectionGate
from .gated_server import GatedServer
from .kept_limits import KeptLimits

__all__ = ["Acceptor", "ConnectionGate", "GatedServer", "KeptLimits"]
