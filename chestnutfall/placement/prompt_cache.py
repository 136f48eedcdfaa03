"""Which prompt prefixes an engine probably still holds."""

from __future__ import annotations

from collections import OrderedDict

from .adapter_name import AdapterName
from .place_request import PlaceRequest

_Key = tuple[AdapterName, tuple[str, ...]]


class PromptCache:
    """A guess, kept like the engine's own cache: least recently used prefixes go first."""

    def __init__(self, kv_tokens: int) -> None:
        self._kv_tokens = kv_tokens
        self._held: OrderedDict[_Key, int] = OrderedDict()
        self._tokens = 0

    def missing_tokens(self, req: PlaceRequest) -> int:
        """Prompt tokens that the engine would have to read."""
        known = 0
        prefix: tuple[str, ...] = ()
        for part in req.parts:
            prefix = (*prefix, part.part_id)
            if (req.adapter, prefix) not in self._held:
                break
            known += part.tokens
        return max(req.prompt_tokens - known, 0)

    def note(self, req: PlaceRequest) -> None:
        """Remember that the engine reads this request's prompt."""
        prefix: tuple[str, ...] = ()
        for part in req.parts:
            prefix = (*prefix, part.part_id)
            key = (req.adapter, prefix)
            if key not in self._held:
                self._held[key] = part.tokens
                self._tokens += part.tokens
            self._held.move_to_end(key)
        while self._tokens > self._kv_tokens and self._held:
            _, tokens = self._held.popitem(last=False)
            self._tokens -= tokens

    def drop(self, adapter: AdapterName) -> None:
        """Forget an adapter's prefixes; an unload drops them."""
        for key in [key for key in self._held if key[0] == adapter]:
            self._tokens -= self._held.pop(key)
