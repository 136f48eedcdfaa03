"""Work that comes after an answer and can't change it any more."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

log = logging.getLogger(__name__)


@contextmanager
def after_answer(what: str) -> Iterator[None]:
    """Log an error of what is done after an answer, which would break off a whole answer."""
    try:
        yield
    except Exception as exc:
        log.error("dispatch: %s failed", what, exc_info=exc)
