"""A state machine that records every command."""

from __future__ import annotations

import json
from typing import Any

from ...consensus import StateMachine


class Recorder(StateMachine):
    """Keeps the applied commands in order; the outcome of a command is its log index."""

    def __init__(self) -> None:
        self.applied: list[str] = []

    def apply(self, index: int, data: bytes) -> Any:
        self.applied.append(data.decode())
        return index

    def dump(self) -> bytes:
        return json.dumps(self.applied).encode()

    def restore(self, data: bytes) -> None:
        self.applied = json.loads(data) if data else []
