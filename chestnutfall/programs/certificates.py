"""Certificates that a program does without."""

from __future__ import annotations

import importlib
import os

_NONE = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def import_http_without_certificates() -> None:
    """Import aiohttp such that it does not read the host's certificates.

    It reads all of them twice when it is imported: 60 of the 330 ms of processor time that a
    gateway needs to start (`python -X importtime`), also in a program that never opens a TLS
    connection to a stranger. Connections with a TLS context of their own are not concerned.
    """
    before = {name: os.environ.get(name) for name in _NONE}
    os.environ.update(_NONE)
    try:
        importlib.import_module("aiohttp")
    finally:
        for name, value in before.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
