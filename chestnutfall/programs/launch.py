"""Entry point of the platform's programs: `python3 -S -m chestnutfall.programs.launch gateway`.

`-S` leaves out `site`, which would search the host's packages; `PYTHONPATH` names the folder of the
libraries.
"""

from __future__ import annotations

import gc
import importlib
import sys


def main() -> None:
    """Run the program of `chestnutfall.platform` that the first argument names."""
    # What the imports create lives as long as the process, so collections during them would free
    # nothing. `event_loop.run` enables the collector again.
    gc.disable()
    importlib.import_module(f"chestnutfall.platform.{sys.argv[1]}").main()


if __name__ == "__main__":
    main()
