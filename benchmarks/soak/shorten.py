"""Shortens a schedule that fails by leaving out faults."""

from collections.abc import Callable

from .schedule import Fault


def shorten(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Return faults none of which can be left out without passing.

    ``fails`` plays a schedule. A failure that doesn't show each time may be lost, so
    the faults that remain are a sufficient but not a necessary set.
    """
    kept = list(faults)
    for fault in faults:
        candidate = [other for other in kept if other != fault]
        if fails(candidate):
            kept = candidate
    return kept
