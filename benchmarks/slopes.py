"""Cost of each message, change and stored object, as slopes over several sizes.

`python -m benchmarks.slopes` prints the table from which docs/CAPACITY.md is calculated. Messages
are measured with both ends in one process, so their processor time is that of both ends. Memory is
the growth of a new process.
"""

from __future__ import annotations

import logging

import uvloop

from .change_slopes import change_slopes
from .log_slopes import log_slopes
from .memory_slopes import memory_slopes
from .message_slopes import message_slopes


def main() -> None:
    """Measure everything and print one Markdown table."""
    logging.disable(logging.WARNING)
    print("| what | slope | fixed | residual | points |")
    print("|---|---|---|---|---|")
    for slope in uvloop.run(message_slopes()):
        print(slope.row(), flush=True)
    for slope in [*change_slopes(), *memory_slopes(), *uvloop.run(log_slopes())]:
        print(slope.row(), flush=True)


if __name__ == "__main__":
    main()
