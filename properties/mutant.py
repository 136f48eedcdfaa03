"""A change of the source that removes a safeguard, and the test that detects it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutant:
    """A change of one source file that removes a safeguard or a mechanism.

    Attributes
    ----------
    name : str
        Fault that the change introduces, unique among the mutants; `mutants` selects by it.
    file : str
        Source file, relative to the root of the repository.
    safeguard, without : str
        Text that occurs exactly once in the file, and its replacement.
    test : str
        Test module, class or method that must fail with the change; empty if there is none.
    """

    name: str
    file: str
    safeguard: str
    without: str
    test: str
