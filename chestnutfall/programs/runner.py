"""Command line and settings of every program."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TypeVar

from ..settings.reading import read_settings

T = TypeVar("T")
EXIT_SETTINGS = 2


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Command line with the options that all daemons share."""
    made = argparse.ArgumentParser(prog=program, description=description)
    made.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    made.add_argument("--check", action="store_true", help="check the settings and exit")
    return made


def load_settings(kind: type[T], args: argparse.Namespace) -> T:
    """Read the settings; print all findings and exit 2 if there are any."""
    result = read_settings(kind, args.settings)
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print(f"{args.settings}: settings are valid")
        sys.exit(0)
    return result.ok
