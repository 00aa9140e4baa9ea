"""Schedules that showed a fault once; each has a line on its cause.

Those of the review are played with the soak's own clients.
"""

from typing import NamedTuple

from .schedule import N_INSTANCES, Fault


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
    "orders-1": Case(
        "put back on purpose: a holder whose lease is gone goes on, with its own fence",
        [
            Fault("versions.1", "versions", 2.0, 3.0, 0, "in-time"),
            Fault("store-outage.2", "store-outage", 5.0, 4.0),
            # Both holders give some of the orders of each version.
            *(
                Fault(f"versions.{n}", "versions", 3.5 * n, 3.5, 0, "in-time")
                for n in range(3, 7)
            ),
        ],
    ),
    "clock-1": Case(
        "a record of since when weights are wanted, written by a clock that was ahead",
        [
            # The instance that writes the record isn't known, so all clocks step.
            *(
                Fault(f"clock-step.{n + 1}", "clock-step", 0.5, 9.0, n, "back-again")
                for n in range(N_INSTANCES)
            ),
            Fault("versions.4", "versions", 1.5, 3.0, 0, "slow"),
            Fault("restart-all.5", "restart-all", 10.5, 0.5),
        ],
        # Draws steps of 17 to 29 s forward.
        "30",
    ),
    "clock-2": Case(
        "put back on purpose: the fencing number is the holder's time of day",
        [
            Fault("clock-step.1", "clock-step", 0.5, 18.0, 0, "back-again"),
            Fault("clock-step.2", "clock-step", 0.5, 18.0, 1, "back-again"),
            Fault("versions.3", "versions", 1.0, 3.0, 0, "in-time"),
            Fault("kill.4", "kill", 8.0, 0.5, 0),
            Fault("kill.5", "kill", 8.0, 0.5, 1),
            Fault("versions.6", "versions", 9.5, 3.0, 0, "in-time"),
        ],
        # Draws steps of 22 s forward.
        "9",
    ),
}
