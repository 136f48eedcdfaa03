"""Command-line options and settings that the long-running programs share."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TypeVar

from ..settings.reading import read_settings

T = TypeVar("T")
EXIT_SETTINGS = 2
"""Exit code of a program whose settings are invalid."""


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all long-running programs share."""
    cli = argparse.ArgumentParser(prog=program, description=description)
    cli.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    cli.add_argument("--check", action="store_true", help="check the settings and exit")
    return cli


def load_settings(kind: type[T], args: argparse.Namespace) -> T:
    """Read and validate the settings file that the command line names.

    Exits with code 2 after printing every finding if the settings are invalid, and with code 0
    if `--check` asks only for the validation.

    Parameters
    ----------
    kind : type
        The class of the settings to return.
    """
    result = read_settings(kind, args.settings)
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print(f"{args.settings}: settings are valid")
        sys.exit(0)
    return result.ok
