"""Type of addresses in settings: an IPv4 address and a port."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import AfterValidator


def _checked(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise ValueError("must be an IPv4 number and a port, like 127.0.1.1:8080") from exc
    if not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("the port must be a number from 0 to 65535")
    return text


Address = Annotated[str, AfterValidator(_checked)]
"""An address like `127.0.1.1:8080`; host names are not allowed."""
