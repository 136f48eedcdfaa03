"""Draws how the load of each role grows with the number of hosts, from journal entries of sweeps.

`python -m benchmarks.sweep_plot journal/A.json journal/B.json --out docs/figures` writes one SVG
for each deployment. It has a diagram for each row of the sweep's table, with the middle and the
busiest host. Both axes are logarithmic; a dotted line shows growth in proportion to the hosts.
"""

from __future__ import annotations

import argparse
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from .sweep_table import SweepRow, SweepTable, read_table

# Text stays text and element ids are the same in each run, so that the files are small and change
# only with the data.
plt.rcParams["svg.fonttype"] = "none"
plt.rcParams["svg.hashsalt"] = "sweep"
COLUMNS = 4
INCHES = (3.2, 2.4)
MIN_PLOTTED = 0.1
"""Smaller values are drawn at this one, since a logarithmic axis can't show zero."""


def draw(table: SweepTable, folder: Path) -> Path:
    """Draw the sweep of one deployment and return the path of the SVG."""
    grid_rows = -(-len(table.rows) // COLUMNS)
    size = (INCHES[0] * COLUMNS, INCHES[1] * grid_rows)
    figure, grid = plt.subplots(grid_rows, COLUMNS, figsize=size, squeeze=False)
    for axes in grid.flat[len(table.rows) :]:
        axes.set_visible(False)
    for axes, row in zip(grid.flat, table.rows, strict=False):
        _draw_row(axes, row)
    figure.suptitle(f"{table.site}, {table.commit}: middle and busiest, by hosts")
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"sweep-{table.site}.svg"
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path


def _draw_row(axes: Axes, row: SweepRow) -> None:
    busiest = [max(one, MIN_PLOTTED) for one in row.busiest]
    axes.plot(row.hosts, [max(one, MIN_PLOTTED) for one in row.middle], "o-", label="middle")
    axes.plot(row.hosts, busiest, "s-", label="busiest")
    proportional = [busiest[0] * hosts / row.hosts[0] for hosts in row.hosts]
    axes.plot(row.hosts, proportional, ":", color="grey", label="power 1")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks(row.hosts, [str(hosts) for hosts in row.hosts])
    axes.minorticks_off()
    axes.set_title(row.what, fontsize=8)
    axes.legend(fontsize=6)


def main() -> None:
    """Draw each journal entry named on the command line."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("entries", type=Path, nargs="+")
    cli.add_argument("--out", type=Path, default=Path("docs/figures"))
    args = cli.parse_args()
    for entry in args.entries:
        print(draw(read_table(entry), args.out))


if __name__ == "__main__":
    main()
