"""A stream to another process that someone else cancels."""

from __future__ import annotations

import asyncio
from typing import Any


class CancelledStream:
    """Raises at a read what gRPC raises for a stream that was cancelled or whose channel closed."""

    async def write(self, msg: Any) -> None:
        """Take a message."""

    async def read(self) -> Any:
        """Raise as if the stream had been cancelled."""
        raise asyncio.CancelledError

    def cancel(self) -> None:
        """Cancel the stream again."""
