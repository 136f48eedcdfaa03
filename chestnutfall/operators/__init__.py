"""Commands of `chestnutfallctl`, the command line for operators."""

from __future__ import annotations

from .exit_code import ExitCode
from .operator_session import OperatorSession

__all__ = ["ExitCode", "OperatorSession"]
