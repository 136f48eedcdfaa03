"""Draws how each role's load grows with hosts, from journal entries of sweeps.

`python -m benchmarks.sweep_plot journal/A.json journal/B.json --out docs/figures` writes one SVG
for each deployment: a small picture a figure, the middle of all hosts and the busiest one, both
axes logarithmic, with a line of power one for the eye.
"""

from __future__ import annotations

import argparse
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from .sweep_table import SweepRow, SweepTable, read_table

# Letters as text, and the same names in each run: small files that change only with the figures.
plt.rcParams["svg.fonttype"] = "none"
plt.rcParams["svg.hashsalt"] = "sweep"
COLUMNS = 4
INCHES = (3.2, 2.4)
LEAST = 0.1
"""Figures of zero have no place on a logarithmic axis."""


def draw(table: SweepTable, folder: Path) -> Path:
    """Draw one deployment; the file that was written."""
    lines = -(-len(table.rows) // COLUMNS)
    size = (INCHES[0] * COLUMNS, INCHES[1] * lines)
    figure, places = plt.subplots(lines, COLUMNS, figsize=size, squeeze=False)
    for axes in places.flat[len(table.rows) :]:
        axes.set_visible(False)
    for axes, row in zip(places.flat, table.rows, strict=False):
        _draw_row(axes, row)
    figure.suptitle(f"{table.site}, {table.commit}: middle and busiest, by hosts")
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"sweep-{table.site}.svg"
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path


def _draw_row(axes: Axes, row: SweepRow) -> None:
    busiest = [max(one, LEAST) for one in row.busiest]
    axes.plot(row.hosts, [max(one, LEAST) for one in row.middle], "o-", label="middle")
    axes.plot(row.hosts, busiest, "s-", label="busiest")
    line = [busiest[0] * hosts / row.hosts[0] for hosts in row.hosts]
    axes.plot(row.hosts, line, ":", color="grey", label="power 1")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks(row.hosts, [str(hosts) for hosts in row.hosts])
    axes.minorticks_off()
    axes.set_title(row.what, fontsize=8)
    axes.legend(fontsize=6)


def main() -> None:
    """Draw all entries that are named."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("entries", type=Path, nargs="+")
    cli.add_argument("--out", type=Path, default=Path("docs/figures"))
    args = cli.parse_args()
    for entry in args.entries:
        print(draw(read_table(entry), args.out))


if __name__ == "__main__":
    main()
