"""Table of a sweep over numbers of hosts, parsed from a journal entry."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

_HEAD = "middle / busiest"
_ROW = re.compile(r"(?P<what>\S.*?)\s{2,}(?P<figures>.*\S)")
_PAIR = re.compile(r"([\d.]+) / ([\d.]+)")


@dataclass(frozen=True, slots=True)
class SweepRow:
    """One measured value at each number of hosts.

    Attributes
    ----------
    what : str
        Role and measured value, with its unit.
    hosts : tuple of int
        Numbers of hosts that were measured.
    middle, busiest : tuple of float
        Value of the middle host and of the busiest one at each size; for durations, the usual
        and the longest one.
    """

    what: str
    hosts: tuple[int, ...]
    middle: tuple[float, ...]
    busiest: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class SweepTable:
    """Result of the sweep of one deployment.

    Attributes
    ----------
    site : str
        Name of the deployment.
    commit : str
        First seven digits of the commit that was measured.
    """

    site: str
    commit: str
    rows: tuple[SweepRow, ...]


def read_table(path: Path) -> SweepTable:
    """Read the table from a journal entry.

    Raises
    ------
    ValueError
        When the entry is not that of a completed sweep.
    """
    entry = json.loads(path.read_text("utf-8"))
    if entry.get("cmd") != "sweep":
        raise ValueError(f"{path}: entry of a {entry.get('cmd')!r} run, expected 'sweep'")
    rows = tuple(rows_of(entry.get("digest") or ""))
    if not rows:
        raise ValueError(f"{path}: no table, since the sweep did not complete")
    return SweepTable(entry["site"], entry["head"][:7], rows)


def rows_of(digest: str) -> Iterator[SweepRow]:
    """Yield the rows of the table in the printed output of a sweep.

    The first line of the table holds the numbers of hosts. Lines without a pair of values for
    each of them are skipped.
    """
    _, found, table = digest.partition(_HEAD)
    lines = table.splitlines()[1:] if found else []
    hosts: tuple[int, ...] = ()
    for line in lines:
        if not hosts:
            hosts = tuple(map(int, re.findall(r"\d+", line.partition("power")[0])))
            continue
        row = _ROW.fullmatch(line)
        pairs = _PAIR.findall(row["figures"]) if row is not None else []
        if row is not None and len(pairs) == len(hosts):
            middle, busiest = zip(*pairs, strict=True)
            yield SweepRow(
                row["what"], hosts, tuple(map(float, middle)), tuple(map(float, busiest))
            )
