"""`chestnutfall-load`: sends an open-loop load and reports outcomes and latencies."""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from rich.console import Console
from rich.table import Table

from ..load import LoadPlan, arrivals
from ..load.load_client import LoadClient
from .event_loop import disable_io_uring


def main() -> None:
    """Parse the command line, send the load and print its report as a table or JSON."""
    args = _parser().parse_args()
    disable_io_uring()
    import uvloop

    key = args.key_file.read_text(encoding="utf-8").strip()
    shares = [float(part) for part in args.mix.split(",")]
    plan = LoadPlan(
        args.per_s,
        args.seconds,
        args.adapters,
        args.zipf,
        args.shift_s,
        (shares[0], shares[1], shares[2]),
        args.cancels,
        args.seed,
    )
    client = LoadClient(args.url, key, args.model, args.tokens)
    report = uvloop.run(client.run(arrivals(plan))).as_dict()
    if args.json:
        print(json.dumps(report, indent=2))
        return
    table = Table("class", "answers", "first p50", "p95", "p99", "whole p50", "p95", "p99")
    for name, first in sorted(report["first_event_ms"].items()):
        whole = report["whole_answer_ms"][name]
        times = (
            f"{percentiles[p]:.1f}" for percentiles in (first, whole) for p in ("p50", "p95", "p99")
        )
        table.add_row(name, str(first["count"]), *times)
    Console().print(table)
    print(f"outcomes: {report['outcomes']}")


def _parser() -> argparse.ArgumentParser:
    cli = argparse.ArgumentParser(
        prog="chestnutfall-load",
        description="Offers requests at a set rate, whether earlier ones have ended or not. "
        "Times count from when a request was due.",
    )
    cli.add_argument("--url", action="append", required=True, help="http://IP:PORT/v1; repeatable")
    cli.add_argument("--key-file", type=Path, required=True, help="file with the caller's key")
    cli.add_argument("--model", required=True, help="model; {} becomes the adapter's number")
    cli.add_argument("--per-s", type=float, default=20, help="requests a second (Poisson)")
    cli.add_argument("--seconds", type=float, default=10)
    cli.add_argument("--adapters", type=int, default=1, help="number of adapters (Zipf)")
    cli.add_argument("--zipf", type=float, default=1.1, help="exponent of the popularity")
    cli.add_argument("--shift-s", type=float, default=0, help="deal popularity out anew this often")
    cli.add_argument("--mix", default="0.2,0.5,0.3", help="shares of urgent, normal, overnight")
    cli.add_argument("--cancels", type=float, default=0, help="part of callers that leave early")
    cli.add_argument("--tokens", type=int, default=16)
    cli.add_argument("--seed", type=int, default=1)
    cli.add_argument("--json", action="store_true", help="JSON instead of a table")
    return cli


if __name__ == "__main__":
    main()
