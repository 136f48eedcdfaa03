"""Tables of sweeps are read from journal entries, and drawn to the same file each time.

A sweep measures the load of each role at several numbers of hosts.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.sweep_plot import draw
from benchmarks.sweep_table import SweepRow, read_table, rows_of

DIGEST = """some day   0.9
middle / busiest or longest, by own machines
                                   30             100             300  power  at 406
controller: processor %     2.3 / 7.1      4.8 / 11.8     12.4 / 27.8   0.59  33.2
config acked, ms           22.0 / 105     25.0 / 85.0      42.0 / 163   0.19  172
power: the busiest grows as machines to this power
"""


class SweepTableTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def _write_entry(self, **changed: object) -> Path:
        path = self.folder / "entry.json"
        entry = {"cmd": "sweep", "digest": DIGEST, "site": "a-site", "head": "0123456789"}
        path.write_text(json.dumps(entry | changed), "utf-8")
        return path

    def test_rows_have_the_middle_and_the_busiest_at_each_size(self) -> None:
        hosts = (30, 100, 300)
        first = SweepRow("controller: processor %", hosts, (2.3, 4.8, 12.4), (7.1, 11.8, 27.8))
        second = SweepRow("config acked, ms", hosts, (22.0, 25.0, 42.0), (105.0, 85.0, 163.0))
        self.assertEqual(list(rows_of(DIGEST)), [first, second])

    def test_entries_without_a_table_are_rejected(self) -> None:
        for changed in ({"cmd": "hunt"}, {"digest": None}, {"digest": "nothing"}):
            with self.subTest(changed), self.assertRaises(ValueError):
                read_table(self._write_entry(**changed))

    def test_the_same_entry_is_drawn_to_the_same_file(self) -> None:
        table = read_table(self._write_entry())
        self.assertEqual((table.site, table.commit), ("a-site", "0123456"))
        drawn = [draw(table, self.folder).read_bytes() for _ in range(2)]
        self.assertEqual(drawn[0], drawn[1])
