"""Cost of a deployment that gets no requests.

`python -m benchmarks.idle` starts 3 controllers, 9 gateways and 12 engines as processes, the size
of the current deployment, and measures processor time, memory and loopback bytes for 10 s.
"""

from __future__ import annotations

import time

from chestnutfall.tests.process_office import ProcessOffice

from .meter import cpu_us, loopback_bytes, resident_bytes

SECONDS = 10
START_S = 3
"""The work of starting is not measured."""


def main() -> None:
    """Start the processes, measure while they are idle, and stop them."""
    office = ProcessOffice(controllers=3, gateways=9, engines=12)
    try:
        office.start()
        time.sleep(START_S)
        pids = {name: process.pid for name, process in office.processes.items()}
        before = {name: cpu_us(pid) for name, pid in pids.items()}
        before_bytes = loopback_bytes()
        time.sleep(SECONDS)
        bytes_per_s = (loopback_bytes() - before_bytes) / SECONDS
        print("| process | % of a core | MB resident |\n|---|---|---|")
        for name, pid in sorted(pids.items()):
            share = (cpu_us(pid) - before[name]) / SECONDS / 1e4
            print(f"| {name} | {share:.2f} | {resident_bytes(pid) / 1e6:.0f} |")
        print(f"\nloopback bytes of all {len(pids)} processes: {bytes_per_s:,.0f} a second")
    finally:
        office.stop()


if __name__ == "__main__":
    main()
