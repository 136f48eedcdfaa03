"""Starts a gateway whose links to upstreams can be cut: `python -m soak.cut_off_launch gateway`."""

from __future__ import annotations

import importlib
import signal

from chestnutfall.programs import launch


def main() -> None:
    """Run the program that the first argument names."""
    # The imports of `cut_links` take most of a second, in which SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("soak.cut_links").install()
    launch.main()


if __name__ == "__main__":
    main()
