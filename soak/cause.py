"""The causes that end a request without an answer, or a stream before its end."""

from __future__ import annotations

from enum import Enum


class Cause(Enum):
    """What explains such an end; there are no others."""

    CLIENT_LEFT = "the client left"
    GATEWAY_KILLED = "its gateway was killed"
    GATEWAY_PAUSED = "its gateway stood still until the client left"
    NOT_READ = "it was not read"
    CONNECTION_HARMED = "a connection to its upstream was reset, cut or lost bytes"
    UPSTREAM_ENDED = "its upstream ended or broke off"
    UPSTREAM_FAILED = "its upstreams answered with failures"
    DEADLINE = "its deadline was reached"
