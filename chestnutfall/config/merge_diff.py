"""Difference of two JSON documents as a merge patch."""

from __future__ import annotations

from typing import Any


def merge_diff(before: Any, after: Any) -> Any:
    """Return the RFC 7396 patch from `before` to `after`; `{}` when they are equal objects."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return after
    patch: dict[str, Any] = {key: None for key in before if key not in after}
    for key, value in after.items():
        if key not in before:
            patch[key] = value
        elif value != before[key]:
            patch[key] = merge_diff(before[key], value)
    return patch
