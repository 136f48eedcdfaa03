"""A request to be placed on an engine."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; equal ids mean equal text."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What placement needs to know of a request.

    Attributes
    ----------
    ticket : str
        Unique for each attempt to place; identifies the place until it is released. Consists of the
        name of the gateway that sends the request, a slash and the rest.
    adapter : AdapterName
        What the engine must hold.
    prompt_tokens, output_tokens : int
        Size of the prompt, and most tokens generated.
    parts : tuple of PromptPart
        The prompt's parts in order; the last is the request's own.
    rank : int
        Urgency, 0 is first.
    objective_ms, wait_ms : int
        Time left until the first event is late, and until the caller gives up.
    avoid : tuple of str
        Instances that failed this request before.
    pause_objective_ms : int
        Longest pause between two events that is still on time; 0 where there is none.
    organisation : str
        Organisation that sent the request; empty where no key is required.
    """

    ticket: str
    service: str
    adapter: AdapterName
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    rank: int
    objective_ms: int
    wait_ms: int
    data_centre: str
    avoid: tuple[str, ...] = ()
    pause_objective_ms: int = 0
    organisation: str = ""

    @property
    def gateway(self) -> str:
        """Name of the gateway that sends the request."""
        return self.ticket.rpartition("/")[0]
