"""Entry point of the platform's programs: `python3 -S -m chestnutfall.programs.launch gateway`.

`-S` leaves out `site`, which reads the host's packages; the libraries are found by `PYTHONPATH`.
"""

from __future__ import annotations

import gc
import importlib
import sys


def main() -> None:
    """Run the program of `chestnutfall.platform` that the first argument names."""
    # What the imports create lives as long as the process, so that the collector would only
    # traverse it again and again. The event loop enables it once the program is imported.
    gc.disable()
    importlib.import_module(f"chestnutfall.platform.{sys.argv[1]}").main()


if __name__ == "__main__":
    main()
