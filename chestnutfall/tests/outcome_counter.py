"""A nose2 plugin that counts outcomes and knows which failures are expected."""

from __future__ import annotations

from typing import Any, ClassVar

from nose2.events import Plugin


class OutcomeCounter(Plugin):
    """Collects the names of tests that passed and failed."""

    configSection = "outcome-counter"
    alwaysOn = True
    passed: ClassVar[set[str]] = set()
    failed: ClassVar[set[str]] = set()

    def testOutcome(self, event: Any) -> None:
        """Note one outcome; a test with a failing sub-test has failed."""
        name = getattr(event.test, "test_case", event.test).id()
        if event.outcome == "passed":
            self.passed.add(name)
        elif event.outcome in ("failed", "error") or event.exc_info is not None:
            self.failed.add(name)
