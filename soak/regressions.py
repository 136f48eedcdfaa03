"""Seeds that once violated a guarantee, with the cause."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed, the minutes under faults in which it violated a guarantee, and the cause."""

    seed: int
    minutes: float
    cause: str


REGRESSIONS = (
    Regression(
        118, 0.25, "an adapter was dropped under a request that an earlier leader had placed"
    ),
    Regression(119, 0.25, "the same, after a controller was paused"),
    Regression(
        1, 0.1, "an upstream's 503 was passed on for a request that another one had run before"
    ),
    Regression(
        1, 0.1, "a frequent request was quarantined for ends of upstreams that rejected too many"
    ),
    Regression(
        1, 0.1, "a frequent request was quarantined though it was answered between two ends"
    ),
    Regression(1, 0.1, "the check blamed a gateway for requests that a cut had held up"),
    Regression(
        1, 0.1, "a new leader took ends that a hold explains for new evidence against sound parts"
    ),
    Regression(
        8004, 0.12, "a frequent request was quarantined for ends that others caused within seconds"
    ),
    Regression(8205, 0.12, "the same"),
    Regression(8204, 0.12, "the relay ended an answer without a length while it dropped its bytes"),
    Regression(
        7237, 0.12, "the relay dropped an answer in a cut and let its connection live on after it"
    ),
    Regression(
        7320, 0.12, "the check took a plain service for starved that took no work: leaving, backoff"
    ),
    Regression(
        9101, 0.12, "lookups at plain upstreams that were silent for a second were answered 502"
    ),
    Regression(9201, 0.05, "streams of engines that were silent for a second were broken off"),
    Regression(1, 0.1, "lookups at slow plain upstreams were given up, with no room elsewhere"),
    Regression(
        1, 0.1, "a call still waited for a helper's connection that another one's timeout closed"
    ),
    Regression(1, 0.1, "a call without a leader was sent to an engine of another service"),
    Regression(
        9502,
        0.12,
        "the check took an answer that a cut held up for one that said an upstream leaves",
    ),
    Regression(11, 0.7, "SIGHUP ended a gateway that was just being started again"),
)
