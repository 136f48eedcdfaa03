"""Output of commands: tables for people, JSON for scripts."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

WIDTH_WITHOUT_TERMINAL = 160
"""Characters in a line of a table that is piped or written to a file."""


def show(as_json: bool, value: Any, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print the result of a command.

    Parameters
    ----------
    as_json : bool
        Print `value` as JSON instead of `rows` as a table.
    rows : iterable of sequence
        The cells of each row, one for each of `columns`.
    """
    if as_json:
        print(json.dumps(msgspec.to_builtins(value), indent=2, sort_keys=True))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    # Without a terminal, rich would assume 80 columns and break the cells of wide tables.
    width = None if sys.stdout.isatty() else WIDTH_WITHOUT_TERMINAL
    Console(width=width).print(table)
