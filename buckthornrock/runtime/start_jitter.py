"""Random delays for the first calls of instances that start at the same time."""

import random
from collections.abc import Callable

#: Time by which the longest delay grows with each other instance.
DELAY_PER_INSTANCE_MS = 5.0
MAX_DELAY_MS = 2_000.0


def make_start_check(
    now_ms: Callable[[], float], rng: random.Random, n_instances: Callable[[], int]
) -> Callable[[], bool]:
    """Return a function that says whether this instance's delay has passed.

    Parameters
    ----------
    now_ms : callable
        Monotonic milliseconds.
    rng : random.Random
        Draws this instance's delay, as a share of the longest delay.
    n_instances : callable
        Number of instances that may be starting. It may grow during the delay, because
        membership discovers the others after the start.

    Returns
    -------
    callable
        Returns True at once if there is no other instance.
    """
    started_at_ms = now_ms()
    share = rng.random()

    def may_start() -> bool:
        longest_ms = min(MAX_DELAY_MS, (n_instances() - 1) * DELAY_PER_INSTANCE_MS)
        return now_ms() >= started_at_ms + share * longest_ms

    return may_start
