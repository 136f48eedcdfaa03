"""The run of all tests: what counts as passed, failed and known."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from .known_red import CROWDS, known_red, report
from .outcomes import Outcomes
from .suite import NEEDS_HOST, ROOT, RUNS_ALONE, STARTS_PROGRAMS


def _report(outcomes: Outcomes, known: dict[str, str]) -> tuple[bool, list[str]]:
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        passed = report(outcomes, known)
    return passed, printed.getvalue().splitlines()


class ReportTest(unittest.TestCase):
    def test_a_failure_that_is_not_listed_fails_the_run(self) -> None:
        outcomes = Outcomes(frozenset({"a"}), frozenset({"b"}))
        self.assertEqual(_report(outcomes, {}), (False, ["failed: b", "1 passed, 1 failed"]))

    def test_a_failure_that_is_listed_is_printed_and_passed_over(self) -> None:
        outcomes = Outcomes(frozenset({"a"}), frozenset({"b"}))
        lines = ["known red: b: seed 1", "1 passed, 0 failed"]
        self.assertEqual(_report(outcomes, {"b": "b: seed 1"}), (True, lines))

    # Guards against a run that found no tests and counts as passed.
    def test_a_run_without_tests_fails(self) -> None:
        self.assertEqual(_report(Outcomes(), {}), (False, ["0 passed, 0 failed"]))

    def test_a_list_that_is_too_long_ends_the_run(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text("a: x\n\nb: y\nc: z\n")
            self.assertEqual(list(known_red(path)), ["a", "b", "c"])
            path.write_text("a: x\nb: y\nc: z\nd: w\n")
            with self.assertRaises(SystemExit):
                known_red(path)

    def test_tests_of_crowds_do_not_count_towards_the_limit_on_the_list(self) -> None:
        crowds = [f"{CROWDS}bodies.T.test_{at}" for at in range(5)]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text("\n".join(f"{one}: x" for one in ("a", *crowds, "b", "c")))
            self.assertEqual(list(known_red(path)), ["a", *crowds, "b", "c"])
            path.write_text("\n".join(f"{one}: x" for one in ("a", *crowds, "b", "c", "d")))
            with self.assertRaises(SystemExit):
                known_red(path)


class OutcomesTest(unittest.TestCase):
    # Guards against a test whose sub-tests differ and that counts as passed and failed.
    def test_a_test_that_failed_anywhere_has_failed(self) -> None:
        joined = Outcomes(frozenset({"a", "b"})) | Outcomes(failed=frozenset({"b"}))
        self.assertEqual(joined, Outcomes(frozenset({"a"}), frozenset({"b"})))

    def test_outcomes_are_read_as_they_were_written(self) -> None:
        outcomes = Outcomes(frozenset({"a"}), frozenset({"b"}))
        with tempfile.TemporaryDirectory() as folder:
            outcomes.write(Path(folder) / "file")
            self.assertEqual(Outcomes.read(Path(folder) / "file"), outcomes)


class ModulesTest(unittest.TestCase):
    def setUp(self) -> None:
        tests = ROOT / "chestnutfall" / "tests"
        self.sources = {path.stem: path.read_text("utf-8") for path in tests.glob("test_*.py")}
        self.alone = {name for name, text in self.sources.items() if RUNS_ALONE.search(text)}

    # Guards against a deployment of processes beside other tests, which take its processor time.
    def test_modules_that_judge_what_programs_serve_run_alone(self) -> None:
        alone = ("test_soak", "test_rush", "test_named_signals", "test_fatal_processes")
        for name in (*alone, "test_silent_second"):
            self.assertIn(name, self.alone)
        self.assertNotIn("test_paths", self.alone)

    # Guards against another deployment beside a test that judges how a busy processor is used.
    def test_modules_that_need_the_host_are_known(self) -> None:
        needing = {name for name, text in self.sources.items() if NEEDS_HOST.search(text)}
        crowds = {name for name in self.sources if name.startswith("test_crowds_")}
        self.assertEqual(len(crowds), 9)
        self.assertEqual(needing, {"test_rush"} | crowds)
        self.assertLess(needing, self.alone)

    # Guards against a new module that starts programs and runs beside others without a decision:
    # these judge no share of what is served, and wait for programs on ports of their own.
    def test_only_certain_modules_with_programs_run_beside_others(self) -> None:
        start = {name for name, text in self.sources.items() if STARTS_PROGRAMS.search(text)}
        beside = {"test_control_server", "test_http_engine_api", "test_processes"}
        beside |= {"test_helped_completions", "test_silent_processes"}
        self.assertEqual(start - self.alone, beside)
