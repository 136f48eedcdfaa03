"""Settings of the programs: JSON files checked as a whole."""

from __future__ import annotations

from .controller_settings import ControllerSettings, MemberSettings
from .engine_settings import EngineSettings
from .gateway_settings import GatewaySettings
from .observability_settings import ObservabilitySettings
from .plain_settings import PlainSettings
from .reading import read_settings
from .tls_settings import TlsSettings

__all__ = [
    "ControllerSettings",
    "EngineSettings",
    "GatewaySettings",
    "MemberSettings",
    "ObservabilitySettings",
    "PlainSettings",
    "TlsSettings",
    "read_settings",
]
