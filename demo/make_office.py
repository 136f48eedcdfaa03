"""Writes the keys, settings and configuration of a small deployment on loopback addresses.

Usage: python demo/make_office.py FOLDER
"""

from __future__ import annotations

import hashlib
import json
import secrets
import sys
from pathlib import Path
from typing import Any

SITES = ("nodo-centro", "nodo-norte", "nodo-oeste")
# office.sh starts as many processes of each kind.
GATEWAYS = 9
CONTROLLERS = 3
ENGINES = 3
DIGESTS = {version: hashlib.sha256(f"weights {version}".encode()).hexdigest() for version in "12"}
"""Digest of the weights of each version."""


def _write(path: Path, value: Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")


def _key(folder: Path, name: str) -> str:
    """Write a key file with a new key and return the SHA-256 of the key."""
    key = secrets.token_hex(16)
    path = folder / "keys" / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(key + "\n", encoding="utf-8")
    path.chmod(0o600)
    return hashlib.sha256(key.encode()).hexdigest()


def _controller_address(number: int) -> str:
    return f"127.0.2.{number}:7000"


def main() -> None:
    """Write every file of the deployment."""
    folder = Path(sys.argv[1])
    hashes = {name: _key(folder, name) for name in ("admin", "caller", "engines", "permisos")}
    controllers = [_controller_address(n) for n in range(1, CONTROLLERS + 1)]
    _write_controllers(folder, controllers, hashes["admin"])
    _write_gateways(folder, controllers)
    _write_upstreams(folder)
    _write(
        folder / "operator.json",
        {"controllers": controllers, "key_file": str(folder / "keys/admin")},
    )
    _write(folder / "base.json", _base(hashes))
    # One site overrides a limit of the base layer, as an example of an overlay.
    overlay = {"limits": {"default": {"request_ms": 30_000}}}
    _write(folder / "overlays" / f"{SITES[1]}.json", overlay)


def _write_controllers(folder: Path, controllers: list[str], admin_hash: str) -> None:
    members = [{"name": f"control-{n}", "address": a} for n, a in enumerate(controllers, start=1)]
    for number, address in enumerate(controllers, start=1):
        settings = {
            "name": f"control-{number}",
            "listen": address,
            "data_folder": str(folder / f"data/control-{number}"),
            "first_members": members,
            "admin_key_sha256": admin_hash,
        }
        _write(folder / f"settings/control-{number}.json", settings)


def _write_gateways(folder: Path, controllers: list[str]) -> None:
    for number in range(1, GATEWAYS + 1):
        settings = {
            "name": f"entry-{number}",
            "data_centre": SITES[number % len(SITES)],
            "listen": f"127.0.1.{number}:8080",
            "peer_listen": f"127.0.1.{number}:7001",
            "announce_listen": f"127.0.1.{number}:8081",
            "controllers": controllers,
            "observability": {"trace_file": str(folder / "traces.jsonl")},
        }
        _write(folder / f"settings/entry-{number}.json", settings)


def _write_upstreams(folder: Path) -> None:
    announce_to = [f"127.0.1.{number}:8081" for number in range(1, GATEWAYS + 1)]
    for number in range(1, ENGINES + 1):
        settings = {
            "name": f"redactor-{number}",
            "service": "redactor-ia",
            "data_centre": SITES[number % len(SITES)],
            "base_model": "base-7b",
            "listen": f"127.0.3.{number}:9000",
            "announce_to": announce_to,
            "announce_key_file": str(folder / "keys/engines"),
            # Engines that check fencing tokens, and some that ignore them.
            "fencing": "checked" if number % 2 else "ignored",
        }
        _write(folder / f"settings/engine-{number}.json", settings)
    plain = {
        "name": "permisos-1",
        "service": "permisos",
        "data_centre": SITES[0],
        "listen": "127.0.3.100:9000",
        "announce_to": announce_to,
        "announce_key_file": str(folder / "keys/permisos"),
    }
    _write(folder / "settings/plain-1.json", plain)


def _base(hashes: dict[str, str]) -> dict[str, Any]:
    return {
        "sites": {site: {} for site in SITES},
        "services": {
            "redactor-ia": {
                "kind": "engine",
                "base_model": "base-7b",
                "announce_key_sha256": hashes["engines"],
            },
            "permisos": {
                "kind": "plain",
                "path": "/permisos",
                "announce_key_sha256": hashes["permisos"],
            },
        },
        "callers": {
            "contratista": {
                "key_sha256": hashes["caller"],
                "adapters": ["*"],
                "services": ["permisos"],
                "highest_class": "urgent",
            }
        },
        "limits": {"default": {"loads_per_s": 5, "loads_at_once": 3}},
    }


if __name__ == "__main__":
    main()
