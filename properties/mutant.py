"""One safeguard and the test that proves it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutant:
    """A change that takes a safeguard out.

    Attributes
    ----------
    file : str
        Source file below the root.
    safeguard, without : str
        Text that stands there exactly once, and what replaces it.
    test : str
        Test module, class or method that must fail then.
    """

    name: str
    file: str
    safeguard: str
    without: str
    test: str
