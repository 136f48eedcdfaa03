"""A nose2 plugin that records which tests passed and which failed."""

from __future__ import annotations

from typing import Any, ClassVar

from nose2.events import Plugin


class OutcomeCounter(Plugin):
    """Collects the names of tests that passed and failed.

    The sets belong to the class, since nose2 creates the plugin itself. A test whose sub-tests
    have different outcomes can be in both.
    """

    configSection = "outcome-counter"
    alwaysOn = True
    passed: ClassVar[set[str]] = set()
    failed: ClassVar[set[str]] = set()

    def testOutcome(self, event: Any) -> None:
        """Record the outcome of a test; that of a sub-test counts for its test."""
        name = getattr(event.test, "test_case", event.test).id()
        if event.outcome == "passed":
            self.passed.add(name)
        elif event.outcome in ("failed", "error") or event.exc_info is not None:
            self.failed.add(name)
