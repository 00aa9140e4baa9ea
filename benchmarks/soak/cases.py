"""Schedules that showed a fault once; each has a line on its cause.

Those of the review are played with the soak's own clients.
"""

from typing import NamedTuple

from .schedule import Fault


class Case(NamedTuple):
    """A schedule that is kept; ``seed`` names the clients' randomness."""

    cause: str
    faults: list[Fault]
    seed: str = "1"


CASES = {
    "review-1": Case(
        "an event of a response counted as proof that its prompt's parts are sound",
        [Fault("crash-part.1", "crash-part", 5.0, 16.0, 0, "after-event")],
    ),
    "review-2": Case(
        "crashes within 100 ms of each other counted as one, whatever engines ran",
        [Fault("crash-part.1", "crash-part", 5.0, 13.0, 0, "batch")],
    ),
    "review-3": Case(
        "the cache salt of shared accounts stayed when one of them became isolated",
        [Fault("isolate.1", "isolate", 4.0, 0.3)],
    ),
    "review-4": Case(
        "one failed call counted as an outage, so that a removed entry lasted longer",
        [
            # The versions end the waiting watches, so that all begin anew at once.
            Fault("new-version.1", "new-version", 5.0, 0.15),
            Fault("store-silence.2", "store-silence", 5.3, 0.3, 0),
            Fault("store-silence.3", "store-silence", 5.3, 0.3, 1),
            Fault("store-silence.4", "store-silence", 5.3, 0.3, 2),
            Fault("leave.5", "leave", 6.02, 2.6, 0, "quiet"),
        ],
    ),
    "seed-43": Case(
        "the tool's: a wait for a process's end went on to its successor and killed it",
        [
            Fault("roll.3", "roll", 3.1, 0.96),
            Fault("kill.4", "kill", 3.15, 0.51, 0),
        ],
        "43",
    ),
}
