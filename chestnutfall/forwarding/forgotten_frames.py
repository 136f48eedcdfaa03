"""Errors that no longer refer to what raised them."""

from __future__ import annotations


def forget_frames(exc: BaseException) -> None:
    """Let an error that has been dealt with forget the frames that it passed.

    Frames refer to requests, and some to the error itself. Such a cycle would keep the request in
    memory until the next full garbage collection.
    """
    seen: list[BaseException] = []
    errors: list[BaseException | None] = [exc]
    while errors:
        one = errors.pop()
        if one is None or one in seen:
            continue
        seen.append(one)
        one.__traceback__ = None
        errors += (one.__cause__, one.__context__)
