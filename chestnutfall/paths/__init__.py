"""Which upstreams a gateway reaches itself, and sends through another gateway for the others.

A link between one gateway and one upstream can fail while each of them is well towards all others.
The gateway then passes its sends on through a helper, a gateway that reaches the upstream.
"""

from __future__ import annotations

from .helped_upstream_api import HelpedUpstreamApi
from .helper_service import HelperService
from .known_helpers import KnownHelpers
from .path_table import PathTable
from .port_witness import PortWitness

__all__ = ["HelpedUpstreamApi", "HelperService", "KnownHelpers", "PathTable", "PortWitness"]
