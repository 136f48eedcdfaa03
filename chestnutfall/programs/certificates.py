"""Import of aiohttp without the host's CA certificates."""

from __future__ import annotations

import importlib
import os

_NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def import_http_without_certificates() -> None:
    """Import aiohttp without letting it load the host's CA certificates.

    On import, aiohttp reads all certificates of the host twice. This delays the start also of
    programs that never open a TLS connection to a host outside the deployment. The environment
    variables are restored afterwards. Connections that pass their own TLS context are not affected.

    Call this before any other module imports aiohttp.
    """
    saved = {name: os.environ.get(name) for name in _NO_CERTIFICATES}
    os.environ.update(_NO_CERTIFICATES)
    try:
        importlib.import_module("aiohttp")
    finally:
        for name, value in saved.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
