"""The table of a sweep over numbers of hosts, as a journal entry holds it."""

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
    """One figure at each size.

    Attributes
    ----------
    what : str
        Role and figure, with its unit.
    hosts : tuple of int
        Sizes that were played.
    middle, busiest : tuple of float
        The middle of all hosts and the busiest one, or the usual and the longest time.
    """

    what: str
    hosts: tuple[int, ...]
    middle: tuple[float, ...]
    busiest: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class SweepTable:
    """What a sweep of one deployment showed, on one commit."""

    site: str
    commit: str
    rows: tuple[SweepRow, ...]


def read_table(path: Path) -> SweepTable:
    """Read a journal entry.

    Raises
    ------
    ValueError
        When it is not the entry of a sweep that ended.
    """
    entry = json.loads(path.read_text("utf-8"))
    if entry.get("cmd") != "sweep":
        raise ValueError(f"{path}: the entry of a {entry.get('cmd')!r}; a 'sweep' is needed")
    rows = tuple(rows_of(entry.get("digest") or ""))
    if not rows:
        raise ValueError(f"{path}: no table; the sweep did not end")
    return SweepTable(entry["site"], entry["head"][:7], rows)


def rows_of(digest: str) -> Iterator[SweepRow]:
    """Yield the rows of the table in a sweep's text."""
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
