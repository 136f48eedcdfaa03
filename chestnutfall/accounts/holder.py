"""What is held for one peer."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .memory_account import MemoryAccount


class Holder:
    """The part of an account that one connection, request or answer takes.

    As a context, it gives all of it back at its end.

    Parameters
    ----------
    give_way : callable, optional
        Frees what is held at once, and shrinks this holder. Called while `may_give_way` is set and
        others need the memory; without it, this holder never gives way.

    Attributes
    ----------
    size : int
        Bytes that are held.
    is_kept : bool
        Whether what is held stays until its owner gives it back.
    is_closed : bool
        Whether everything was given back. It holds nothing from then on, whatever it is told: a
        request may still be on its way through a connection that has ended.
    progress_ms : int
        Clock time at which its peer last brought or took something.
    """

    __slots__ = ("_account", "give_way", "is_closed", "is_kept", "progress_ms", "size")

    def __init__(self, account: MemoryAccount, give_way: Callable[[], None] | None) -> None:
        self._account = account
        self.give_way = give_way
        self.is_closed = False
        self.is_kept = give_way is None
        self.progress_ms = account.now_ms()
        self.size = 0

    def resize(self, size: int) -> None:
        """Note how many bytes are held.

        Raises
        ------
        AccountFull
            When that is too much; the size is as before.
        """
        self._account.resize(self, size)

    def force(self, size: int) -> None:
        """Note how many bytes are held that are there already, whether or not it is too much."""
        self._account.force(self, size)

    def keep(self, size: int) -> None:
        """Hold `size` bytes until they are given back, and no longer give way.

        Raises
        ------
        AccountFull
            When too much is kept already; nothing has changed then.
        """
        self._account.keep(self, size)

    def yield_again(self) -> None:
        """Give way again when others need the memory."""
        self._account.yield_again(self)

    def note_progress(self) -> None:
        """Note that the peer has just brought or taken something."""
        self.progress_ms = self._account.now_ms()

    def close(self) -> None:
        """Give everything back; may be called more than once."""
        self._account.close(self)

    def __enter__(self) -> Holder:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()
