"""The memory that the leader holds for requests of gateways."""

from __future__ import annotations

from collections.abc import Callable

from ..accounts import Holder, MemoryAccount
from ..placement import PlaceRequest

REQUEST_BYTES = 2 * 1024
"""A request without parts, as it waits for a place or has one."""
PART_BYTES = 400
"""Each part of its prompt, with the names and prefixes that placement derives from it."""


class HeldRequests:
    """Draws what gateways' requests take from the account of the process, by ticket.

    Each gateway holds no more requests than its own memory allows. Hundreds of gateways hold more
    than one leader has memory for.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._memory = memory
        self._holders: dict[str, Holder] = {}

    def hold(self, req: PlaceRequest, give_way: Callable[[], None]) -> None:
        """Hold a request that waits for a place.

        Parameters
        ----------
        give_way : callable
            Refuses it, as others need the memory.

        Raises
        ------
        AccountFull
            When there is no memory for it.
        """
        holder = self._memory.holder(give_way)
        try:
            holder.resize(_cost(req))
        except BaseException:
            holder.close()
            raise
        self._replace(req.ticket, holder)

    def hold_running(self, req: PlaceRequest) -> None:
        """Hold a request that an engine runs already, whether or not there is memory for it."""
        self._keep(req.ticket, _cost(req))

    def note_granted(self, ticket: str) -> None:
        """Hold a request from now on until it is dropped, whatever others need."""
        holder = self._holders.get(ticket)
        if holder is not None:
            self._keep(ticket, holder.size)

    def drop(self, ticket: str) -> None:
        """Give back what the request of a ticket took."""
        holder = self._holders.pop(ticket, None)
        if holder is not None:
            holder.close()

    def _keep(self, ticket: str, size: int) -> None:
        kept = self._memory.holder()
        kept.force(size)
        self._replace(ticket, kept)

    def _replace(self, ticket: str, holder: Holder) -> None:
        self.drop(ticket)
        self._holders[ticket] = holder


def _cost(req: PlaceRequest) -> int:
    names = len(req.adapter.model) + len(req.adapter.adapter)
    return REQUEST_BYTES + names + PART_BYTES * len(req.parts)
