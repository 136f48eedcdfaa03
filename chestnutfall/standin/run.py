"""One run on the stand-in engine."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Run:
    """A request whose answer is being generated, one token a step.

    Attributes
    ----------
    path : str
        Path of the request, which decides on the form of the answer.
    priority : int
        Urgency, 0 is first.
    tokens : int
        Tokens to generate.
    events : list of bytes
        Data of the events generated so far.
    changed : asyncio.Event
        Set after each step and when the run is cancelled.
    """

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
        """Generate one token, and the final event after the last token."""
        number = len(self.events) + 1
        last = number >= self.tokens
        self.events.append(self._event(f"w{number} ", last))
        if last:
            self.events.append(b"[DONE]")
            self.done = True
        self.changed.set()

    def whole_answer(self, model: str) -> dict[str, Any]:
        """Return the whole answer as a JSON object that names `model`."""
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
