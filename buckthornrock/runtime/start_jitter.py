"""Spreads the first calls of instances that start together."""

import random
from collections.abc import Callable

#: Time by which the spread grows for each other instance.
SPREAD_MS = 5.0
MAX_SPREAD_MS = 2_000.0


def make_start_check(
    now_ms: Callable[[], float], rng: random.Random, n_instances: Callable[[], int]
) -> Callable[[], bool]:
    """Return a function that says whether this instance's turn has come.

    Parameters
    ----------
    now_ms : callable
        Monotonic milliseconds.
    rng : random.Random
        Draws this instance's place in the spread.
    n_instances : callable
        How many instances may be starting; it may grow while this one waits, because
        membership learns of the others after the start.

    Returns
    -------
    callable
        At once True for an instance alone.
    """
    started_at_ms = now_ms()
    share = rng.random()

    def is_open() -> bool:
        spread_ms = min(MAX_SPREAD_MS, (n_instances() - 1) * SPREAD_MS)
        return now_ms() >= started_at_ms + share * spread_ms

    return is_open
