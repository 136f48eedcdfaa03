"""One run on the stand-in engine."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Run:
    """A request being generated, with the events made so far."""

    attempt_id: str
    adapter: str
    path: str
    priority: int
    tokens: int
    events: list[bytes] = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def step(self) -> None:
        """Generate one token."""
        number = len(self.events) + 1
        last = number >= self.tokens
        self.events.append(self._event(f"w{number} ", last))
        if last:
            self.events.append(b"[DONE]")
            self.done = True
        self.changed.set()

    def whole(self, model: str) -> dict[str, Any]:
        """The answer in one piece."""
        text = "".join(f"w{number} " for number in range(1, self.tokens + 1))
        usage = {"prompt_tokens": 1, "completion_tokens": self.tokens, "total_tokens": 0}
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": f"{self.adapter} {text}"}
        else:
            choice["text"] = f"{self.adapter} {text}"
        kind = "chat.completion" if self._is_chat else "text_completion"
        return self._envelope(kind, model) | {"choices": [choice], "usage": usage}

    @property
    def _is_chat(self) -> bool:
        return "chat" in self.path

    def _envelope(self, kind: str, model: str) -> dict[str, Any]:
        return {"id": f"cmpl-{self.attempt_id}", "object": kind, "created": 0, "model": model}

    def _event(self, text: str, last: bool) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
        if self._is_chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        return json.dumps(self._envelope(kind, self.adapter) | {"choices": [choice]}).encode()
