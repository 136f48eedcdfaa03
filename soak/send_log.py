"""The sends of each request, as gateways log them."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

_SEND = re.compile(
    r"call: id=(?P<early>\w+) (?P<how>overtaken|unfinished) send=\d+ instance=(?P<left>[^\s~]+)"
    r"[^\n]*? (?P<state>ahead|at_work)=(?P<is_state>\d)"
    r"|call: id=(?P<id>\w+) [^\n]*? instance=(?P<instance>[^\s~]+)\S* [^\n]*? "
    r"result=(?P<result>\w+) (?P<code>\S*) first=[^\n]*? helped=(?P<helped>\d+)"
)
_NAMED = re.compile(r"call: id=(\w+)")
DELIVERED = "Delivered"
LOST = "Lost"
OVERTAKEN = "Overtaken"
"""Result of a send that a gateway cancelled, since another one was to go on in its place."""
UNFINISHED = "Unfinished"
"""Result of a send that ended with its call, at the call's deadline or as its client left."""
AHEAD = "ahead"
"""Code of an overtaken send: the other one had already written the next part of the answer."""
AT_WORK = "at_work"
"""Code of an unfinished send whose upstream had begun to answer."""
SILENT = "silent"
"""Code of a send that a gateway gave up since nothing came."""


@dataclass(frozen=True, slots=True)
class LoggedSend:
    """One send of a request.

    Attributes
    ----------
    instance : str
        Name that the upstream announced; gateways add the time of its start to it.
    result, code : str
        How it ended, in the gateway's terms; `code` may be empty.
    helped : str
        Number of sends of the request so far that a helper answered.
    """

    instance: str
    result: str
    code: str
    helped: str = "0"

    @property
    def is_helped(self) -> bool:
        """Whether a helper took part in it, or in an earlier send of the request."""
        return self.helped != "0" or self.code.startswith("helper")

    @property
    def was_given_up(self) -> bool:
        """Whether the gateway took the upstream for lost since it was silent."""
        return (self.result, self.code) == (LOST, SILENT)


class SendLog:
    """What gateways logged of requests.

    Parameters
    ----------
    logs : iterable of str
        Logs of all gateways.
    """

    def __init__(self, logs: Iterable[str]) -> None:
        self._sends: dict[str, list[LoggedSend]] = {}
        self._named: set[str] = set()
        for text in logs:
            self._named.update(_NAMED.findall(text))
            for found in _SEND.finditer(text):
                request_id, send = _read(found)
                self._sends.setdefault(request_id, []).append(send)

    def was_read(self, request_id: str) -> bool:
        """Return whether a gateway logged anything of a request."""
        return request_id in self._named

    def was_answered(self, request_id: str) -> bool:
        """Return whether a gateway passed the answer of an upstream on to the request's client."""
        return any(send.result == DELIVERED for send in self.sends(request_id))

    def sends(self, request_id: str) -> list[LoggedSend]:
        """Return the sends of a request that ended, in order."""
        return self._sends.get(request_id, [])


def _read(found: re.Match[str]) -> tuple[str, LoggedSend]:
    if found["early"]:
        result = OVERTAKEN if found["how"] == "overtaken" else UNFINISHED
        code = found["state"] if found["is_state"] == "1" else ""
        return found["early"], LoggedSend(found["left"], result, code)
    return found["id"], LoggedSend(
        found["instance"], found["result"], found["code"], found["helped"]
    )
