"""Estimate of the prompt prefixes that an engine has cached."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from .adapter_name import AdapterName
from .place_request import PlaceRequest

MAX_PREFIXES = 64
"""Prefixes of one prompt that are told apart; a prompt has a few parts."""
MAX_HELD = 4_096
"""Prefixes of one engine; some 200 bytes each. Engines have room for a tenth of this in usual
parts."""
_Key = tuple[AdapterName, int]
Prefixes = tuple[tuple[_Key, int], ...]


def prefixes_of(req: PlaceRequest) -> Prefixes:
    """Return each prefix of the prompt, keyed with its adapter, and the tokens of its last part."""
    found: list[tuple[_Key, int]] = []
    # A key that holds all ids before it would take memory with the square of their number.
    prefix = 0
    for part in islice(req.parts, MAX_PREFIXES):
        prefix = hash((prefix, part.part_id))
        found.append(((req.adapter, prefix), part.tokens))
    return tuple(found)


class PromptCache:
    """Prefixes that an engine probably has cached.

    It evicts the least recently used prefixes first, as the engine's own cache does.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._kv_tokens = kv_tokens
        self._held: OrderedDict[_Key, int] = OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._held)

    def missing_tokens(self, prompt_tokens: int, prefixes: Prefixes) -> int:
        """Prompt tokens that are not cached, for which the engine needs prefill."""
        known = 0
        for key, tokens in prefixes:
            if key not in self._held:
                break
            known += tokens
        return max(prompt_tokens - known, 0)

    def note(self, prefixes: Prefixes) -> None:
        """Record that the engine processes a prompt with these prefixes."""
        for key, tokens in prefixes:
            if key not in self._held:
                self._held[key] = tokens
                self._tokens += tokens
            self._held.move_to_end(key)
        # Parts may have no tokens at all.
        while (self._tokens > self._kv_tokens and self._held) or len(self._held) > MAX_HELD:
            _, tokens = self._held.popitem(last=False)
            self._tokens -= tokens

    def drop(self, adapter: AdapterName) -> None:
        """Forget an adapter's prefixes; an unload drops them."""
        for key in [key for key in self._held if key[0] == adapter]:
            self._tokens -= self._held.pop(key)
